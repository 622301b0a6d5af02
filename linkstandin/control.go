package linkstandin

import (
	"encoding/json"
	"net/http"
)

// maxControlBytes limits the body of a request to Handler.
const maxControlBytes = 64 << 10

type directionJSON struct {
	DelayMilliseconds  int64   `json:"delay_milliseconds"`
	JitterMilliseconds int64   `json:"jitter_milliseconds"`
	LossFraction       float64 `json:"loss_share"`
	StallMilliseconds  int64   `json:"stall_milliseconds"`
	Cut                bool    `json:"cut"`
	BytesPerSecond     int64   `json:"bytes_per_second"`
}

type faultsJSON struct {
	Forward  directionJSON `json:"forward"`
	Backward directionJSON `json:"backward"`
	Refuse   bool          `json:"refuse"`
}

// Handler serves PUT /standin/links/NAME, which replaces the faults of the link with
// that name in links. It answers 404 for an unknown link and 400 for a malformed body.
func Handler(links map[string]*Link) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /standin/links/{name}", func(w http.ResponseWriter, r *http.Request) {
		l := links[r.PathValue("name")]
		if l == nil {
			http.Error(w, "no such link", http.StatusNotFound)
			return
		}
		var f faultsJSON
		d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes))
		d.DisallowUnknownFields()
		if err := d.Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		l.SetFaults(Faults{
			Forward:  Direction(f.Forward),
			Backward: Direction(f.Backward),
			Refuse:   f.Refuse,
		})
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}
