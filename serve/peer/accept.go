package peer

import (
	"context"
	"io"
	"time"

	"github.com/quic-go/quic-go"

	"carawaycross.example/carawaycross/core/ident"
)

// accept takes connections until the listener closes.
func (t *Transport) accept(ctx context.Context) {
	for {
		conn, err := t.listener.Accept(ctx)
		if err != nil {
			return
		}
		name, err := nameOf(conn.ConnectionState().TLS)
		if err != nil {
			_ = conn.CloseWithError(closeCode, err.Error())
			continue
		}
		t.workers.Go(ctx, func(ctx context.Context) { t.acceptMessages(ctx, conn, ident.VMID(name)) })
		t.workers.Go(ctx, func(ctx context.Context) { t.acceptCalls(ctx, conn, ident.VMID(name)) })
	}
}

func (t *Transport) acceptMessages(ctx context.Context, conn *quic.Conn, from ident.VMID) {
	for {
		stream, err := conn.AcceptUniStream(ctx)
		if err != nil {
			_ = conn.CloseWithError(closeCode, "")
			return
		}
		_ = stream.SetReadDeadline(time.Now().Add(sendTimeout))
		body, err := io.ReadAll(io.LimitReader(stream, largestMessage))
		if err != nil {
			continue
		}
		t.bytesIn.Add(int64(len(body)))
		t.messagesIn.Add(1)
		t.handler.Message(ctx, from, body)
	}
}

func (t *Transport) acceptCalls(ctx context.Context, conn *quic.Conn, from ident.VMID) {
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		t.workers.Go(ctx, func(ctx context.Context) { t.answerCall(ctx, stream, from) })
	}
}

func (t *Transport) answerCall(ctx context.Context, stream *quic.Stream, from ident.VMID) {
	// A stream that cannot be closed is gone already.
	defer func() { _ = stream.Close() }()
	_ = stream.SetReadDeadline(time.Now().Add(sendTimeout))
	body, err := io.ReadAll(io.LimitReader(stream, largestMessage))
	if err != nil {
		return
	}
	t.bytesIn.Add(int64(len(body)))
	answer := t.handler.Call(ctx, from, body)
	n, err := stream.Write(answer)
	if err == nil {
		t.bytesOut.Add(int64(n))
	}
}
