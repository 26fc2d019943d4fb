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

func (s *Server) handleConfiguration(w http.ResponseWriter, r *http.Request) {
	c := s.Updater.ConfigurationInForce(r.Context())
	s.write(w, r, http.StatusOK, codec.ConfigurationMessage(&c))
}

func (s *Server) handleChange(w http.ResponseWriter, r *http.Request) {
	var m schema.ChangeRequest
	if !s.read(w, r, &m) {
		return
	}
	ch := codec.Change(m.GetChange())
	result, err := s.Updater.Apply(r.Context(), ch, ident.Version(m.BasedOn))
	if err != nil {
		s.refuseChange(w, r, err)
		return
	}
	s.OnChange(r.Context(), result.Configuration)
	s.Log.Info().Str("change", string(ch.Kind)).Str("subject", ch.Subject).Str("who", ch.Who).Str("why", ch.Why).
		Uint32("version", uint32(result.Configuration.Version)).Bool("done-before", result.DoneBefore).Msg("change-accepted")
	s.write(w, r, http.StatusOK, changeAnswer(&result))
}

// changeAnswer returns the message of an accepted change, with the fields that differ
// between the presets in force before and after it.
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

// refuseChange writes the refusal of a change that Updater.Apply did not accept.
func (s *Server) refuseChange(w http.ResponseWriter, r *http.Request, err error) {
	m := &schema.ChangeRefusal{Outcome: string(booking.NotRun), Detail: err.Error(), Reason: "failed"}
	status := http.StatusServiceUnavailable
	if e, ok := asOperatorError(err); ok {
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
	s.Log.Warn().Str("reason", m.Reason).Str("detail", m.Detail).Msg("change-refused")
	s.write(w, r, status, m)
}

// handleStatus writes the status as JSON or protobuf if the Accept header contains
// one of them, and as plain text otherwise.
func (s *Server) handleStatus(w http.ResponseWriter, r *http.Request) {
	status := s.Status(r.Context())
	if accept := r.Header.Get("Accept"); strings.Contains(accept, JSON) || strings.Contains(accept, Protobuf) {
		s.write(w, r, http.StatusOK, status)
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	WriteStatus(w, status)
}
