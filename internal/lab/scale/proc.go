package scale

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// clockTicks is how many of /proc's ticks a second has; Linux shows 100 everywhere.
const clockTicks = 100

// process is what the system says of a process.
type process struct {
	cpu            float64
	rssMB, peakMB  float64
	files, threads int
	// ended: it is no more, or only waits to be noticed.
	ended bool
}

func look(pid int) (process, error) {
	var p process
	dir := fmt.Sprintf("/proc/%d/", pid)
	b, err := os.ReadFile(dir + "stat")
	if err != nil {
		return process{ended: true}, fmt.Errorf("scale: %w", err)
	}
	// The name, in brackets, may have blanks in it.
	_, rest, _ := strings.Cut(string(b), ") ")
	f := strings.Fields(rest)
	if len(f) < 13 {
		return p, fmt.Errorf("scale: %sstat has %d fields", dir, len(f))
	}
	p.ended = f[0] == "Z" || f[0] == "X"
	user, _ := strconv.ParseFloat(f[11], 64)
	system, _ := strconv.ParseFloat(f[12], 64)
	p.cpu = (user + system) / clockTicks
	if p.ended {
		return p, nil
	}
	lines, err := fields(dir + "status")
	if err != nil {
		return p, err
	}
	p.rssMB, p.peakMB, p.threads = lines["VmRSS"]/1024, lines["VmHWM"]/1024, int(lines["Threads"])
	if names, err := os.ReadDir(dir + "fd"); err == nil {
		p.files = len(names)
	}
	return p, nil
}

// fields reads lines such as "VmRSS:  1234 kB".
func fields(path string) (map[string]float64, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("scale: %w", err)
	}
	out := map[string]float64{}
	for _, line := range strings.Split(string(b), "\n") {
		name, rest, _ := strings.Cut(line, ":")
		if f := strings.Fields(rest); len(f) > 0 {
			if v, err := strconv.ParseFloat(f[0], 64); err == nil {
				out[name] = v
			}
		}
	}
	return out, nil
}
