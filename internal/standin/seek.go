package standin

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/seek"
)

// seek.go draws days for a search by the slack that they leave, changes them, and keeps
// them as files that can be played again.

const (
	// seekFaultsMost bounds the troubles of a day of a search.
	seekFaultsMost = 6
	// seekShiftMost is how far a change shifts a trouble.
	seekShiftMost = 20 * time.Second
	// seekBegin is when the first trouble may begin, and seekEnd how long after the last
	// job has come the last one.
	seekBegin = 20 * time.Second
	seekEnd   = time.Minute
	// seekMachines is how many machines a day of a search has at least, and up to four
	// times as many, and seekMinutes how long jobs come, if nothing is said: many short
	// days show more than a few long ones.
	seekMachines = 15
	seekMinutes  = 2
)

// Untimed is the margin's name of all rules without a time: 1, or -1 where one is broken.
const Untimed = "others"

// Seeking is what is searched among days of meetings like p; p's zeros are drawn. played is
// told of each day that was played, from several at a time.
func Seeking(p DayParams, played func(DayResult)) seek.Problem[Day] {
	return seek.Problem[Day]{
		Generate: func(rng *rand.Rand) Day {
			x := p
			x.Seed, x.Meetings = rng.Uint64N(1<<32), true
			x.Minutes = cmp.Or(x.Minutes, seekMinutes)
			x.Mixed = x.Mixed || rng.IntN(2) == 0
			x.CancelRoom = cmp.Or(x.CancelRoom, []int{0, 0, 10, 4}[rng.IntN(4)])
			if x.Machines == 0 {
				x.Machines = seekMachines + rng.IntN(3*seekMachines)
			}
			d := DrawDay(x)
			if rng.IntN(2) == 0 {
				d.add(rng, d.drawAny(rng))
			}
			return d
		},
		Mutate: func(rng *rand.Rand, d Day) Day {
			for range 1 + rng.IntN(3) {
				d = d.changed(rng)
			}
			return d
		},
		Evaluate: func(d Day) map[string]float64 {
			r := PlayDay(d, "")
			played(r)
			return r.margins()
		},
	}
}

// margins are the seconds that are left to each rule with a time, and Untimed.
func (r *DayResult) margins() map[string]float64 {
	out := map[string]float64{Untimed: 1}
	if len(r.Broken) > 0 {
		out[Untimed] = -1
	}
	for rule, s := range r.Slack {
		out[rule] = s.Left.Seconds()
	}
	return out
}

// drawAny draws any trouble with a time within the day's.
func (d *Day) drawAny(rng *rand.Rand) DayFault {
	f := d.drawTrouble(rng)
	if rng.IntN(2) == 0 {
		f = d.drawLater(rng)
	}
	f.At = d.within(time.Duration(rng.Float64() * float64(d.lastTrouble())))
	return f
}

// lastTrouble is when the last trouble of a day of a search may begin.
func (d *Day) lastTrouble() time.Duration { return time.Duration(d.Minutes)*time.Minute + seekEnd }

func (d *Day) within(at time.Duration) time.Duration {
	return min(max(at, seekBegin), d.lastTrouble())
}

// add adds a trouble near another one, so that they meet.
func (d *Day) add(rng *rand.Rand, f DayFault) {
	if len(d.Faults) > 0 {
		f.At = d.within(d.Faults[rng.IntN(len(d.Faults))].At + shift(rng))
	}
	d.Faults = append(slices.Clone(d.Faults), f)
	d.inOrder()
}

func (d *Day) inOrder() {
	slices.SortStableFunc(d.Faults, func(a, b DayFault) int { return cmp.Compare(a.At, b.At) })
}

// shift draws by how much something is shifted, small shifts as often as large ones.
func shift(rng *rand.Rand) time.Duration {
	by := between(rng, 50*time.Millisecond, seekShiftMost)
	if rng.IntN(2) == 0 {
		return -by
	}
	return by
}

// changed is a day that differs from another one in one respect.
func (d Day) changed(rng *rand.Rand) Day {
	d.Faults = slices.Clone(d.Faults)
	if d.Cancels != nil {
		c := *d.Cancels
		d.Cancels = &c
	}
	if len(d.Faults) == 0 {
		d.add(rng, d.drawAny(rng))
		return d
	}
	i, k := rng.IntN(len(d.Faults)), rng.IntN(len(d.Faults))
	f := &d.Faults[i]
	switch rng.IntN(9) {
	case 0, 1:
		f.At = d.within(f.At + shift(rng))
	case 2:
		f.At, d.Faults[k].At = d.Faults[k].At, f.At
	case 3:
		f.For = time.Duration(float64(f.For) * (0.5 + 1.5*rng.Float64()))
	case 4:
		at := f.At
		*f = d.drawAny(rng)
		f.At = at
	case 5:
		f.Node, f.Busiest, f.Hold = rng.IntN(d.Controllers), rng.IntN(2) == 0, rng.IntN(2) == 0
	case 6:
		if len(d.Faults) < seekFaultsMost {
			d.add(rng, d.drawAny(rng))
		}
	case 7:
		if len(d.Faults) > 1 {
			d.Faults = slices.Delete(d.Faults, i, i+1)
		}
	case 8:
		if c := d.Cancels; c != nil {
			c.At, c.For = d.within(c.At+shift(rng)), max(time.Second, c.For+shift(rng))
		}
	}
	d.inOrder()
	return d
}

// Save writes a day as a file that Load reads again.
func (d Day) Save(file string) error {
	b, err := json.MarshalIndent(d, "", "  ")
	if err != nil {
		return fmt.Errorf("day: %w", err)
	}
	return os.WriteFile(file, append(b, '\n'), 0o644)
}

// Load reads a day that Save wrote: what its params say is drawn again, but its troubles
// are those of the file.
func Load(file string) (Day, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return Day{}, err
	}
	var read Day
	if err := json.Unmarshal(b, &read); err != nil {
		return Day{}, fmt.Errorf("%s: %w", file, err)
	}
	if err := read.Check(); err != nil {
		return Day{}, fmt.Errorf("%s: %w", file, err)
	}
	if read.Machines < 1 || read.Teams < 1 || read.Controllers < 1 || read.Minutes < 1 || read.Jobs < 1 {
		return Day{}, fmt.Errorf("%s: machines, teams, controllers, minutes and jobs are to be positive", file)
	}
	d := DrawDay(read.DayParams)
	d.Faults, d.Cancels = read.Faults, read.Cancels
	d.inOrder()
	return d, nil
}
