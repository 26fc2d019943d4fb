package peer

import (
	"context"
	"time"

	"github.com/quic-go/quic-go"

	"carawaycross.example/carawaycross/core/ident"
	bodies "carawaycross.example/carawaycross/internal/body"
)

// acceptConnections accepts connections until the listener is closed, and
// starts two goroutines for each one: one for messages, one for calls.
func (t *Transport) acceptConnections(ctx context.Context) {
	for {
		conn, err := t.listener.Accept(ctx)
		if err != nil {
			return
		}
		name, err := peerName(conn.ConnectionState().TLS)
		if err != nil {
			_ = conn.CloseWithError(closeCode, err.Error())
			continue
		}
		t.workers.Go(ctx, func(ctx context.Context) { t.acceptMessages(ctx, conn, ident.VMID(name)) })
		t.workers.Go(ctx, func(ctx context.Context) { t.acceptCalls(ctx, conn, ident.VMID(name)) })
	}
}

// acceptMessages passes the message of each unidirectional stream to the
// handler until the connection ends.
func (t *Transport) acceptMessages(ctx context.Context, conn *quic.Conn, from ident.VMID) {
	for {
		stream, err := conn.AcceptUniStream(ctx)
		if err != nil {
			_ = conn.CloseWithError(closeCode, "")
			return
		}
		_ = stream.SetReadDeadline(time.Now().Add(sendTimeout))
		body, err := bodies.Read(stream, maxMessageSize)
		if err != nil {
			stream.CancelRead(closeCode)
			continue
		}
		t.bytesIn.Add(int64(len(body)))
		t.messagesIn.Add(1)
		t.handler.Message(ctx, from, body)
	}
}

// acceptCalls starts a goroutine for the call of each bidirectional stream
// until the connection ends.
func (t *Transport) acceptCalls(ctx context.Context, conn *quic.Conn, from ident.VMID) {
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		t.workers.Go(ctx, func(ctx context.Context) { t.handleCall(ctx, stream, from) })
	}
}

// handleCall reads the request of a call and writes the handler's response.
func (t *Transport) handleCall(ctx context.Context, stream *quic.Stream, from ident.VMID) {
	// Close fails only on a stream that was already reset or canceled.
	defer func() { _ = stream.Close() }()
	_ = stream.SetReadDeadline(time.Now().Add(sendTimeout))
	body, err := bodies.Read(stream, maxMessageSize)
	if err != nil {
		stream.CancelRead(closeCode)
		return
	}
	t.bytesIn.Add(int64(len(body)))
	response := t.handler.Call(ctx, from, body)
	n, err := stream.Write(response)
	if err == nil {
		t.bytesOut.Add(int64(n))
	}
}
