package scale

import (
	"fmt"
	"io"
	"math"
	"strings"
	"text/tabwriter"
)

// Series is several measurements and the fits through them. Its JSONSize is read back by later runs.
type Series struct {
	Measurements []*Measurement `json:"rungs"`
	Fits         []Fit          `json:"fits"`
}

// fittedFigures are the figures of a measurement that are fitted. NaN means that a measurement
// has none.
var fittedFigures = []struct {
	name  string
	value func(*Measurement) float64
}{
	{"cores of all controllers", func(r *Measurement) float64 { return r.sumRoles("", func(x Role) float64 { return x.Cores }) }},
	{"cores of the leader", func(r *Measurement) float64 { return r.sumRoles("leader", func(x Role) float64 { return x.Cores }) }},
	{"MB of all controllers", func(r *Measurement) float64 { return r.sumRoles("", func(x Role) float64 { return x.RSSMB }) }},
	{"reports/s", func(r *Measurement) float64 { return r.HeartbeatsPerSecond }},
	{"report KB/s of all workers", func(r *Measurement) float64 { return r.HeartbeatKB * float64(r.Workers) }},
	{"orders/s", func(r *Measurement) float64 { return r.CommandsPerSecond }},
	{"requests/s", func(r *Measurement) float64 { return r.StateRPS }},
	{"changes/s", func(r *Measurement) float64 { return r.StateWriteRPS }},
	{"takeover first start s", func(r *Measurement) float64 {
		if r.Takeover == nil {
			return math.NaN()
		}
		return r.Takeover.FirstStartS
	}},
}

// sumRoles adds up a figure of the controllers whose role starts with role.
func (r *Measurement) sumRoles(role string, figure func(Role) float64) float64 {
	out := 0.0
	for _, x := range r.Roles {
		if strings.HasPrefix(x.Role, role) {
			out += figure(x)
		}
	}
	return out
}

// Fit fits each figure to workers and starts, or to workers alone where the measurements do
// not determine both slopes.
func (s *Series) Fit() {
	for _, f := range fittedFigures {
		var both, one [][]float64
		var y []float64
		for _, r := range s.Measurements {
			if math.IsNaN(f.value(r)) {
				continue
			}
			w := float64(r.Workers)
			both, one, y = append(both, []float64{w, r.StartsPerSecond}), append(one, []float64{w}), append(y, f.value(r))
		}
		fit, ok := FitLine(f.name, both, y)
		if !ok {
			fit, ok = FitLine(f.name, one, y)
		}
		if ok {
			s.Fits = append(s.Fits, fit)
		}
	}
}

// Print writes the series as tables.
func (s *Series) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "WORKERS\tSTARTS/S\tFOR\tFILL\tREPORTS/S\tREPORT KB/S\tORDERS/S\tREQUESTS/S\tCHANGES/S\t429\tACCEPT P50/P99\tURGENT P50/P99/MAX\tNEVER\tCHANGE P50/MAX\tLOSS\tTAKEOVER\tLAB\tOTHERS\tBROKEN")
	for _, r := range s.Measurements {
		takeover := "-"
		if t := r.Takeover; t != nil {
			takeover = fmt.Sprintf("%.1f/%.1f", t.ClaimedS, t.FirstStartS)
		}
		fmt.Fprintf(w, "%d\t%.1f\t%.0f\t%.0f\t%.1f\t%.3f\t%.1f\t%.1f\t%.1f\t%d\t%.3f/%.3f\t%.2f/%.2f/%.2f\t%d\t%.2f/%.2f\t%.1f\t%s\t%.2f\t%.2f\t%d\n", r.Workers, r.StartsPerSecond, r.ForS, r.FillS, r.HeartbeatsPerSecond, r.HeartbeatKB,
			r.CommandsPerSecond, r.StateRPS, r.StateWriteRPS, r.RateLimited, r.AcceptLatency.P50, r.AcceptLatency.P99, r.UrgentStartLatency.P50, r.UrgentStartLatency.P99, r.UrgentStartLatency.Max, r.UrgentStartLatency.Unfinished, r.RankingLatency.P50, r.RankingLatency.Max, r.RecoveryS, takeover, r.SimulationCores, r.OtherCores, len(r.Violations))
	}
	fmt.Fprintln(w, "\nWORKERS\tHOST\tROLE\tTEAMS\tCORES\tMB\tPEAK MB\tFILES\tTHREADS")
	for _, r := range s.Measurements {
		for _, x := range r.Roles {
			fmt.Fprintf(w, "%d\t%s\t%s\t%d\t%.3f\t%.0f\t%.0f\t%d\t%d\n", r.Workers, x.Host, x.Role, x.Teams, x.Cores, x.RSSMB, x.PeakMB, x.Files, x.Threads)
		}
	}
	if len(s.Fits) > 0 {
		fmt.Fprintln(w, "\nFIT OF\tBASE\tFOR 1000 WORKERS\tFOR A START/S\tRESIDUAL\tPOINTS")
	}
	for _, f := range s.Fits {
		starts := "-"
		if len(f.Slopes) > 1 {
			starts = fmt.Sprintf("%.4f", f.Slopes[1])
		}
		fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%s\t%.3f\t%d\n", f.Figure, f.Intercept, 1000*f.Slopes[0], starts, f.Residual, f.Points)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("scale: %w", err)
	}
	return nil
}
