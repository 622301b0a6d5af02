package tableservicestandin

import (
	"encoding/json"
	"net/http"
	"net/netip"

	"github.com/go-faster/errors"

	"fuchsiacross/model"
)

// The JSON forms of the control interface.
type (
	faultsJSON struct {
		Down                bool    `json:"down"`
		StoreDown           bool    `json:"store_down"`
		Hang                bool    `json:"hang"`
		DelayMilliseconds   int64   `json:"slow_milliseconds"`
		LoseAnswers         int     `json:"lose_answers"`
		LoseAnswerFraction  float64 `json:"lose_share"`
		DropRequests        int     `json:"drop_requests"`
		RefuseFraction      float64 `json:"refuse_share"`
		ListLagMilliseconds int64   `json:"list_lag_milliseconds"`
		WritesPerSecond     int     `json:"writes_per_second"`
		ReadsPerSecond      int     `json:"reads_per_second"`
	}
	listJSON struct {
		Workers   []workerJSON   `json:"workers"`
		Instances []instanceJSON `json:"instances"`
	}
	workerJSON struct {
		ID         string         `json:"id"`
		Address    netip.AddrPort `json:"address"`
		DataCentre string         `json:"data_centre"`
		Rack       string         `json:"rack"`
		Leaving    bool           `json:"leaving"`
	}
	instanceJSON struct {
		ID          string         `json:"id"`
		PeerAddress netip.AddrPort `json:"peer_address"`
		DataCentre  string         `json:"data_centre"`
		Weight      float64        `json:"weight"`
		Leaving     bool           `json:"leaving"`
	}
	viewsJSON    map[netip.Addr]map[model.InstanceID]netip.AddrPort
	countersJSON struct {
		Calls       int64   `json:"calls"`
		Reads       int64   `json:"reads"`
		Writes      int64   `json:"writes"`
		Commits     int64   `json:"commits"`
		RowsWritten int64   `json:"rows_written"`
		Refused     int64   `json:"refused"`
		Throttled   int64   `json:"throttled"`
		LostAnswers int64   `json:"lost_answers"`
		PeakCalls   int64   `json:"peak_calls"`
		PeakReads   int64   `json:"peak_reads"`
		PeakWrites  int64   `json:"peak_writes"`
		Seconds     float64 `json:"seconds"`
	}
	rowJSON struct {
		Key     string `json:"key"`
		Version uint64 `json:"version"`
		Value   []byte `json:"value"`
	}
)

// registerControl adds the control interface, which the package comment lists.
func (p *Platform) registerControl(mux *http.ServeMux) {
	mux.HandleFunc("PUT /standin/faults", func(w http.ResponseWriter, r *http.Request) {
		var f faultsJSON
		if decodeBody(w, r, &f) {
			p.SetFaults(Faults(f))
		}
	})
	mux.HandleFunc("PUT /standin/list", func(w http.ResponseWriter, r *http.Request) {
		var l listJSON
		if decodeBody(w, r, &l) {
			p.SetList(l.toModel())
		}
	})
	mux.HandleFunc("PUT /standin/views", func(w http.ResponseWriter, r *http.Request) {
		var v viewsJSON
		if decodeBody(w, r, &v) {
			p.SetViews(Views(v))
		}
	})
	mux.HandleFunc("GET /standin/counters", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, countersJSON(p.Counters()))
	})
	mux.HandleFunc("POST /standin/counters/reset", func(http.ResponseWriter, *http.Request) {
		p.ResetCounters()
	})
	mux.HandleFunc("GET /standin/rows", func(w http.ResponseWriter, r *http.Request) {
		rows := []rowJSON{}
		for _, row := range p.Rows(r.URL.Query().Get("prefix")) {
			rows = append(rows, rowJSON(row))
		}
		writeJSON(w, rows)
	})
}

// toModel returns the workers and instances of the list.
func (l listJSON) toModel() ([]model.Worker, []model.Instance) {
	var workers []model.Worker
	for _, w := range l.Workers {
		workers = append(workers, model.Worker{
			ID:         model.WorkerID(w.ID),
			Address:    w.Address,
			DataCentre: model.DataCentre(w.DataCentre),
			Rack:       model.Rack(w.Rack),
			Leaving:    w.Leaving,
		})
	}
	var instances []model.Instance
	for _, i := range l.Instances {
		instances = append(instances, model.Instance{
			ID:         model.InstanceID(i.ID),
			Address:    i.PeerAddress,
			DataCentre: model.DataCentre(i.DataCentre),
			Weight:     i.Weight,
			Leaving:    i.Leaving,
		})
	}
	return workers, instances
}

// decodeBody decodes the JSON body of a request. If the body is invalid, it answers
// with status 400 and returns false.
func decodeBody(w http.ResponseWriter, r *http.Request, to any) bool {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(to); err != nil {
		http.Error(w, errors.Wrap(err, "body").Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// writeJSON answers with a value in JSON.
func writeJSON(w http.ResponseWriter, from any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(from)
}
