package emulator

import (
	"encoding/json"
	"io"
	"net/http"
)

const maxControlBytes = 8 << 20

// handleJSON returns an HTTP handler that decodes the request body as JSON,
// calls serve and encodes its result. An empty body decodes to the zero Req.
func handleJSON[Req, Resp any](serve func(r *http.Request, req Req) (Resp, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var req Req
		err := json.NewDecoder(io.LimitReader(r.Body, maxControlBytes)).Decode(&req)
		if err != nil && err != io.EOF {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		resp, err := serve(r, req)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		writeJSON(w, http.StatusOK, resp)
	}
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
