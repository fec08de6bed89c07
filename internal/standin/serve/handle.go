package serve

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"coltsfootmux/internal/platform/protocol"
)

// ErrDecode means that a request body is not the expected JSON.
var ErrDecode = eris.New("malformed request body")

// Handle registers a call for a pattern such as "POST /v1/start".
func Handle[In, Out any](mux *http.ServeMux, pattern string, call func(ctx context.Context, in In) (Out, error)) {
	mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		in, err := decodeBody[In](w, r)
		if err != nil {
			WriteProblem(w, decodeProblem(err))
			return
		}
		out, err := call(r.Context(), in)
		if err != nil {
			WriteProblem(w, protocol.ProblemOf(err))
			return
		}
		writeJSON(w, http.StatusOK, "application/json", out)
	})
}

// Decode decodes a body that must consist of one JSON value without unknown
// fields. The error wraps ErrDecode.
func Decode[In any](body []byte) (In, error) {
	var in In
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&in); err != nil {
		return in, eris.Wrap(ErrDecode, err.Error())
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return in, eris.Wrap(ErrDecode, "data after the JSON value")
	}
	return in, nil
}

// WriteProblem writes a problem document as the response.
func WriteProblem(w http.ResponseWriter, p protocol.Problem) {
	writeJSON(w, p.Status, protocol.ContentProblem, p)
}

func decodeBody[In any](w http.ResponseWriter, r *http.Request) (In, error) {
	var none In
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, protocol.MaxRequest))
	if err != nil {
		return none, err
	}
	if len(body) == 0 {
		return none, nil
	}
	return Decode[In](body)
}

func decodeProblem(err error) protocol.Problem {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return protocol.NewProblem(protocol.CodeTooLarge, "request body exceeds the size limit")
	}
	return protocol.NewProblem(protocol.CodeBadRequest, err.Error())
}

func writeJSON(w http.ResponseWriter, status int, contentType string, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
