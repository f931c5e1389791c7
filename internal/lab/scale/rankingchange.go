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

// The ranking is the only configuration record that controllers follow while they run. The
// latency of its changes shows how long any such record would take to reach all controllers.
const (
	// maxChangeWait is how long a change may take to reach all controllers.
	maxChangeWait      = 20 * time.Second
	changePollInterval = 20 * time.Millisecond
	// rankingEnableText is the file that enables the ranking.
	rankingEnableText = "[ranking]\nenabled = true\n"
)

// rankingTexts are the rankings that are set in turn. They rank the workloads differently.
var rankingTexts = [2]string{
	"[[class]]\nname = \"alerts\"\nworkloads = [\"alert\"]\n[[class]]\nname = \"arrays\"\nworkloads = [\"array\"]\n",
	"[[class]]\nname = \"alerts\"\nworkloads = [\"alert\"]\n[[class]]\nname = \"standing\"\nworkloads = [\"standing\"]\n",
}

// enableFiles returns the files to enable. If the plan changes the ranking, it writes the file
// that enables the ranking and adds it.
func (plan *Plan) enableFiles() ([]string, error) {
	if plan.ChangeEvery == 0 {
		return plan.EnableFiles, nil
	}
	name := filepath.Join(plan.Dir, "ranking.toml")
	if err := os.WriteFile(name, []byte(rankingEnableText), 0o600); err != nil {
		return nil, fmt.Errorf("scale: %w", err)
	}
	return append(slices.Clone(plan.EnableFiles), name), nil
}

// changeRanking makes the n-th change of the ranking, at each controller in turn, and returns the
// time until all controllers report its revision or a later one. It returns false if the change
// fails or takes longer than maxChangeWait.
func (load *workload) changeRanking(ctx context.Context, n int) (time.Duration, bool) {
	ctx, cancel := context.WithTimeout(ctx, maxChangeWait)
	defer cancel()
	began := time.Now()
	set, err := requestRanking(ctx, http.MethodPost, load.cluster.InternalAddrs[n%len(load.cluster.InternalAddrs)], "?by=scale", rankingTexts[n%len(rankingTexts)])
	if err != nil {
		return 0, false
	}
	for _, addr := range load.cluster.InternalAddrs {
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

// requestRanking gets the ranking from the controller at an internal address, or sets it to text.
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
	var reply message.RankingReply
	if err := json.NewDecoder(resp.Body).Decode(&reply); err != nil || resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("scale: %s: ranking: %s", addr, resp.Status)
	}
	return &reply, nil
}

// changeRankings starts a goroutine that changes the ranking for the duration of the plan. The
// function that it returns waits for the goroutine and returns the latencies.
func (load *workload) changeRankings(ctx context.Context) func() Latencies {
	if load.plan.ChangeEvery == 0 {
		return func() Latencies { return Latencies{} }
	}
	done := make(chan Latencies)
	end := time.Now().Add(load.plan.Duration)
	go func() {
		var latencies []float64
		failed := 0
		for n := 0; time.Now().Before(end) && ctx.Err() == nil; n++ {
			if took, ok := load.changeRanking(ctx, n); ok {
				latencies = append(latencies, took.Seconds())
			} else {
				failed++
			}
			sleep(ctx, load.plan.ChangeEvery)
		}
		done <- summarize(latencies, failed)
	}()
	return func() Latencies { return <-done }
}
