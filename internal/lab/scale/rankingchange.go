package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/message"
)

// The ranking is the only configuration record that controllers follow while they run. Its
// changes measure how long any such record would take to reach them.
const (
	maxChangeWait      = 20 * time.Second
	changePollInterval = 20 * time.Millisecond
	rankingFile        = "[ranking]\nenabled = true\n"
)

// rankingTexts are set in turn. They rank the workloads differently.
var rankingTexts = [2]string{
	"[[class]]\nname = \"alerts\"\nworkloads = [\"alert\"]\n[[class]]\nname = \"arrays\"\nworkloads = [\"array\"]\n",
	"[[class]]\nname = \"alerts\"\nworkloads = [\"alert\"]\n[[class]]\nname = \"standing\"\nworkloads = [\"standing\"]\n",
}

// enableFiles returns the files to enable, with one for the ranking if the plan changes it.
func (p *Plan) enableFiles() ([]string, error) {
	if p.ChangeEvery == 0 {
		return p.EnableFiles, nil
	}
	name := filepath.Join(p.Dir, "ranking.toml")
	if err := os.WriteFile(name, []byte(rankingFile), 0o600); err != nil {
		return nil, fmt.Errorf("scale: %w", err)
	}
	return append(slices.Clone(p.EnableFiles), name), nil
}

// changeRanking sets a ranking at a controller, and returns the time until all controllers
// say that they have it. It returns false if that takes too long or fails.
func (l *workload) changeRanking(ctx context.Context, n int) (time.Duration, bool) {
	ctx, cancel := context.WithTimeout(ctx, maxChangeWait)
	defer cancel()
	began := time.Now()
	set, err := requestRanking(ctx, http.MethodPost, l.cluster.InternalAddrs[n%len(l.cluster.InternalAddrs)], "?by=scale", rankingTexts[n%len(rankingTexts)])
	if err != nil {
		return 0, false
	}
	for _, addr := range l.cluster.InternalAddrs {
		for {
			got, err := requestRanking(ctx, http.MethodGet, addr, "", "")
			if err == nil && got.Revision >= set.Revision {
				break
			}
			if ctx.Err() != nil {
				return 0, false
			}
			sleep(ctx, changePollInterval)
		}
	}
	return time.Since(began), true
}

// requestRanking gets the ranking from the controller at an internal address, or sets it.
func requestRanking(ctx context.Context, method, addr, query, text string) (*message.RankingReply, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+"/ranking"+query, strings.NewReader(text))
	if err != nil {
		return nil, fmt.Errorf("scale: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("scale: %w", err)
	}
	defer resp.Body.Close()
	var r message.RankingReply
	if err := json.NewDecoder(resp.Body).Decode(&r); err != nil || resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("scale: %s: ranking: %s", addr, resp.Status)
	}
	return &r, nil
}

// changeRankings starts to change the ranking for as long as the measurement lasts. The
// function that it returns waits for the end and returns the latencies.
func (l *workload) changeRankings(ctx context.Context) func() Latencies {
	if l.plan.ChangeEvery == 0 {
		return func() Latencies { return Latencies{} }
	}
	done := make(chan Latencies)
	end := time.Now().Add(l.plan.Duration)
	go func() {
		var latencies []float64
		failed := 0
		for n := 0; time.Now().Before(end) && ctx.Err() == nil; n++ {
			if took, ok := l.changeRanking(ctx, n); ok {
				latencies = append(latencies, took.Seconds())
			} else {
				failed++
			}
			sleep(ctx, l.plan.ChangeEvery)
		}
		done <- summarize(latencies, failed)
	}()
	return func() Latencies { return <-done }
}
