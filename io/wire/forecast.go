package wire

import (
	"time"
)

//go:generate go tool msgp -file forecast.go -o forecast_gen.go -tests=false -io=false

//msgp:tuple WorkerSlowness

// WorkerSlowness is what a scheduler knows of a worker's speed. The agent keeps it for
// the next scheduler. Log and Sigma are those of estimate.Slowness.
type WorkerSlowness struct {
	Model int // version of the model that it belongs to
	Born  int64
	Log   float64
	Sigma float64
}

// RunSummary is an active run. Expected is the forecast of the time of its task's whole
// work that was made at its placement, Sigma the standard deviation of its logarithm;
// both are 0 if an earlier scheduler has placed it. Remaining is the present forecast.
type RunSummary struct {
	Occurrence int           `msg:"occurrence"`
	Step       int           `msg:"step"`
	Index      int           `msg:"index"`
	Run        int           `msg:"run"`
	Worker     string        `msg:"worker"`
	Percent    int           `msg:"percent"`
	Elapsed    time.Duration `msg:"elapsed"` // since the worker first listed it
	Expected   time.Duration `msg:"expected"`
	Sigma      float64       `msg:"sigma"`
	Remaining  time.Duration `msg:"remaining"`
}
