package localcell

import (
	"fmt"

	"github.com/go-faster/errors"

	"fuchsiacross/callerv1"
	"fuchsiacross/model"
)

// Deployment describes the present cell of one customer.
type Deployment struct {
	Name           string
	DataCentres    []model.DataCentre
	Instances      int
	Workers        int
	WorkersPerRack int
	// One-way delay between data centres. The jitter is added to it, uniformly
	// distributed from 0.
	DelayMilliseconds  int64
	JitterMilliseconds int64
	Capacity           model.Resources // of each worker
	Kinds              []Kind          // kinds of work that RunLoad sends
}

// Kind is one kind of work and its fraction of the load.
type Kind struct {
	Name         string
	Team         string
	Workload     string
	LoadFraction float64 // of all requests
	Tasks        uint32
	Gang         bool
	Service      bool
	Body         string // specifies the behaviour of the tasks to the worker stand-in, in JSON
}

func numberedDataCentres(prefix string, n int) []model.DataCentre {
	var list []model.DataCentre
	for i := range n {
		list = append(list, model.DataCentre(fmt.Sprintf("%s-%d", prefix, i+1)))
	}
	return list
}

// Coban returns the deployment of the Empresa Municipal de Servicios de Cobán.
func Coban() Deployment {
	return Deployment{
		Name:              "coban",
		DataCentres:       numberedDataCentres("alta-verapaz", 4),
		Instances:         7,
		Workers:           50,
		WorkersPerRack:    6,
		DelayMilliseconds: 5,
		Capacity:          model.Resources{MilliCPU: 32_000, MemoryBytes: 64 << 30, Slots: 8},
		Kinds: []Kind{
			{Name: "moisture_check", Team: "gates", Workload: "moisture_check", LoadFraction: 0.70, Body: `{"run_milliseconds":5}`},
			{Name: "patio_summary", Team: "treasury", Workload: "patio_summary", LoadFraction: 0.12, Body: `{"run_milliseconds":20}`},
			{Name: "season_reconciliation", Team: "agronomy", Workload: "season_reconciliation", LoadFraction: 0.10, Body: `{"run_milliseconds":30}`},
			{Name: "log_archive", Team: "records", Workload: "log_archive", LoadFraction: 0.05, Tasks: 2, Body: `{"run_milliseconds":200}`},
			{Name: "drying_model", Team: "agronomy", Workload: "drying_model", LoadFraction: 0.02, Tasks: 4, Gang: true, Body: `{"run_milliseconds":300}`},
			{Name: "patio_board", Team: "records", Workload: "patio_board", LoadFraction: 0.01, Tasks: 2, Service: true},
		},
	}
}

// Schrijfkraam returns the deployment of the Coöperatie Schrijfkraam Samen.
func Schrijfkraam() Deployment {
	return Deployment{
		Name:               "schrijfkraam",
		DataCentres:        numberedDataCentres("randstad", 3),
		Instances:          7,
		Workers:            50,
		WorkersPerRack:     8,
		DelayMilliseconds:  3,
		JitterMilliseconds: 1,
		Capacity:           model.Resources{MilliCPU: 16_000, MemoryBytes: 64 << 30, Slots: 8},
		Kinds: []Kind{
			{Name: "address_check", Team: "counter", Workload: "address_check", LoadFraction: 0.65, Body: `{"run_milliseconds":5}`},
			{Name: "condolence_letter", Team: "letters", Workload: "condolence_letter", LoadFraction: 0.15, Body: `{"run_milliseconds":60}`},
			{Name: "permit_appeal", Team: "letters", Workload: "permit_appeal", LoadFraction: 0.08, Body: `{"run_milliseconds":100}`},
			{Name: "letter_print", Team: "print", Workload: "letter_print", LoadFraction: 0.08, Tasks: 2, Body: `{"run_milliseconds":200}`},
			{Name: "style_training", Team: "print", Workload: "style_training", LoadFraction: 0.03, Tasks: 4, Gang: true, Body: `{"run_milliseconds":300}`},
			{Name: "desk_board", Team: "print", Workload: "desk_board", LoadFraction: 0.01, Tasks: 2, Service: true},
		},
	}
}

// DeploymentByName returns the deployment with a name, or an error if there is
// none.
func DeploymentByName(name string) (Deployment, error) {
	switch name {
	case "coban":
		return Coban(), nil
	case "schrijfkraam":
		return Schrijfkraam(), nil
	}
	return Deployment{}, errors.Errorf("deployment %q is not coban or schrijfkraam", name)
}

func (k Kind) newSubmitRequest(id string) *callerv1.SubmitRequest {
	return &callerv1.SubmitRequest{
		RequestId: id,
		Team:      k.Team,
		Workload:  k.Workload,
		Tasks:     k.Tasks,
		Gang:      k.Gang,
		Body:      []byte(k.Body),
	}
}
