package door

import (
	"net/http"
	"strings"

	"carawaycross.example/carawaycross/core/booking"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/preset"
	"carawaycross.example/carawaycross/schema"
	"carawaycross.example/carawaycross/serve/codec"
	"carawaycross.example/carawaycross/serve/operator"
)

func (d *Server) configuration(w http.ResponseWriter, r *http.Request) {
	c := d.Updater.InForce(r.Context())
	d.write(w, r, http.StatusOK, codec.ConfigurationMessage(&c))
}

func (d *Server) change(w http.ResponseWriter, r *http.Request) {
	var m schema.ChangeRequest
	if !d.read(w, r, &m) {
		return
	}
	ch := codec.Change(m.GetChange())
	result, err := d.Updater.Apply(r.Context(), ch, ident.Version(m.BasedOn))
	if err != nil {
		d.refuseChange(w, r, err)
		return
	}
	d.OnChange(r.Context(), result.Configuration)
	d.Log.Info().Str("change", string(ch.Kind)).Str("subject", ch.Subject).Str("who", ch.Who).Str("why", ch.Why).
		Uint32("version", uint32(result.Configuration.Version)).Bool("done-before", result.DoneBefore).Msg("change-accepted")
	d.write(w, r, http.StatusOK, changeAnswer(&result))
}

func changeAnswer(result *operator.Result) *schema.ChangeAnswer {
	m := &schema.ChangeAnswer{Version: uint32(result.Configuration.Version), DoneBefore: result.DoneBefore}
	before, after := result.Before.Current(), result.Configuration.Current()
	if before == nil || after == nil {
		return m
	}
	for _, difference := range preset.Diff(before, after) {
		m.Differences = append(m.Differences, &schema.PresetDifference{
			Field: difference.Field, Old: difference.Old, New: difference.New,
		})
	}
	return m
}

func (d *Server) refuseChange(w http.ResponseWriter, r *http.Request, err error) {
	m := &schema.ChangeRefusal{Outcome: string(booking.NotRun), Detail: err.Error(), Reason: "failed"}
	status := http.StatusServiceUnavailable
	if e, ok := kindOf(err); ok {
		m.Reason = string(e.Kind)
		if e.Winner != nil {
			m.Winner = codec.ChangeMessage(e.Winner)
		}
		switch e.Kind {
		case operator.Refused:
			status = http.StatusUnprocessableEntity
		case operator.Conflict:
			status = http.StatusConflict
		case operator.Unknown:
			m.Outcome, status = string(booking.MayHaveRun), http.StatusGatewayTimeout
		case operator.Unreachable:
		}
	}
	d.Log.Warn().Str("reason", m.Reason).Str("detail", m.Detail).Msg("change-refused")
	d.write(w, r, status, m)
}

// status answers in JSON when asked for it, else as a plain page.
func (d *Server) status(w http.ResponseWriter, r *http.Request) {
	s := d.Status(r.Context())
	if accept := r.Header.Get("Accept"); strings.Contains(accept, JSON) || strings.Contains(accept, Protobuf) {
		d.write(w, r, http.StatusOK, s)
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	WriteStatus(w, s)
}
