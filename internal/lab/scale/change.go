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

	"github.com/micahill/micahill/internal/core"
)

// The one record of configuration that controllers follow while they run is the ranking;
// its changes stand for those of any such record.
const (
	changeMost  = 20 * time.Second
	changeLook  = 20 * time.Millisecond
	rankingFile = "[ranking]\nenabled = true\n"
)

// rankings are set by turns, each another order.
var rankings = [2]string{
	"[[class]]\nname = \"alerts\"\nworkloads = [\"alert\"]\n[[class]]\nname = \"arrays\"\nworkloads = [\"array\"]\n",
	"[[class]]\nname = \"alerts\"\nworkloads = [\"alert\"]\n[[class]]\nname = \"standing\"\nworkloads = [\"standing\"]\n",
}

// enable writes the file that switches the ranking on.
func (p *Plan) enable() ([]string, error) {
	if p.ChangeEvery == 0 {
		return p.Enable, nil
	}
	name := filepath.Join(p.Dir, "ranking.toml")
	if err := os.WriteFile(name, []byte(rankingFile), 0o600); err != nil {
		return nil, fmt.Errorf("scale: %w", err)
	}
	return append(slices.Clone(p.Enable), name), nil
}

// change sets a ranking at a controller, and waits until all say that they have it.
func (l *load) change(ctx context.Context, n int) (time.Duration, bool) {
	ctx, cancel := context.WithTimeout(ctx, changeMost)
	defer cancel()
	began := time.Now()
	set, err := ranking(ctx, http.MethodPost, l.c.InternalAddrs[n%len(l.c.InternalAddrs)], "?by=scale", rankings[n%len(rankings)])
	if err != nil {
		return 0, false
	}
	for _, addr := range l.c.InternalAddrs {
		for {
			got, err := ranking(ctx, http.MethodGet, addr, "", "")
			if err == nil && got.Revision >= set.Revision {
				break
			}
			if ctx.Err() != nil {
				return 0, false
			}
			sleep(ctx, changeLook)
		}
	}
	return time.Since(began), true
}

func ranking(ctx context.Context, method, addr, query, text string) (*core.RankingReply, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+"/ranking"+query, strings.NewReader(text))
	if err != nil {
		return nil, fmt.Errorf("scale: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("scale: %w", err)
	}
	defer resp.Body.Close()
	var r core.RankingReply
	if err := json.NewDecoder(resp.Body).Decode(&r); err != nil || resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("scale: %s: ranking: %s", addr, resp.Status)
	}
	return &r, nil
}

// changes sets rankings for as long as the measurement lasts.
func (l *load) changes(ctx context.Context) func() Waits {
	if l.plan.ChangeEvery == 0 {
		return func() Waits { return Waits{} }
	}
	done := make(chan Waits)
	end := time.Now().Add(l.plan.For)
	go func() {
		var all []float64
		never := 0
		for n := 0; time.Now().Before(end) && ctx.Err() == nil; n++ {
			if took, ok := l.change(ctx, n); ok {
				all = append(all, took.Seconds())
			} else {
				never++
			}
			sleep(ctx, l.plan.ChangeEvery)
		}
		done <- waits(all, never)
	}()
	return func() Waits { return <-done }
}
