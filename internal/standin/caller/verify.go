package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const verifyTimeout = 2 * time.Second

type (
	// ExecutionCheck compares a Summary with the calls that the targets report as executed.
	ExecutionCheck struct {
		// Duplicates counts keys that were executed more than once.
		Duplicates int `json:"duplicates"`
		// RefusedButRun counts keys that were reported as not run but were executed.
		RefusedButRun int `json:"refused-but-run"`
		// DoneButNotRun counts keys that were reported as done but were not executed exactly once.
		DoneButNotRun int `json:"done-but-not-run"`
		// Skew is the largest number of requests run by one engine divided by the mean over the
		// engines.
		Skew float64 `json:"skew"`
	}

	executedCall struct {
		Key string `json:"key"`
	}
)

// Verify compares s with the runs of all order servers and engines. It returns an error if an
// order server does not respond, since the check needs its list of runs; engines that do not
// respond are omitted.
func Verify(ctx context.Context, s Summary, orders, engines []string) (ExecutionCheck, error) {
	runCount := map[string]int{}
	for _, address := range orders {
		var runs []executedCall
		if err := fetchRuns(ctx, address, &runs); err != nil {
			return ExecutionCheck{}, err
		}
		for _, r := range runs {
			runCount[r.Key]++
		}
	}
	c := ExecutionCheck{Skew: maxOverMean(ctx, engines)}
	for _, n := range runCount {
		if n > 1 {
			c.Duplicates++
		}
	}
	for _, key := range s.NotRunKeys {
		if runCount[key] > 0 {
			c.RefusedButRun++
		}
	}
	for _, key := range s.DoneKeys {
		if runCount[key] != 1 {
			c.DoneButNotRun++
		}
	}
	return c, nil
}

// maxOverMean returns the largest number of runs divided by the mean, over the engines that
// respond.
func maxOverMean(ctx context.Context, engines []string) float64 {
	most, sum, n := 0, 0, 0
	for _, address := range engines {
		var runs []json.RawMessage
		if fetchRuns(ctx, address, &runs) != nil {
			continue
		}
		most = max(most, len(runs))
		sum += len(runs)
		n++
	}
	if sum == 0 {
		return 0
	}
	return float64(most) * float64(n) / float64(sum)
}

func fetchRuns(ctx context.Context, address string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, verifyTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/runs", nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("fetching the runs of %s: %w", address, err)
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(into)
}
