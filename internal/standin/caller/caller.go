// Package caller is a load generator that stands in for the callers of a workspace: it makes
// multi-turn chats and at-most-once calls, and compares every chat answer with the expected one.
package caller

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"hickoryrock/internal/caller/client"
	"hickoryrock/internal/caller/outcome"
	"hickoryrock/internal/standin/engine"
)

const promptWords = 200

type (
	// Config describes the load to generate.
	Config struct {
		Routers []string
		Token   string
		Model   string
		// Chats is the number of chats, and Turns the number of requests in each.
		Chats int
		Turns int
		// Pause is the time between the turns of a chat.
		Pause time.Duration
		// Service and Method name the at-most-once method to call.
		Service         string
		Method          string
		AtMostOnceCalls int
		Parallel        int
	}

	// Summary counts the outcomes of the generated calls.
	Summary struct {
		Requested int `json:"asked"`
		Correct   int `json:"whole"`
		Wrong     int `json:"wrong"`
		Failed    int `json:"failed"`
		Resumed   int `json:"resumed"`
		// Restarted counts answers that were requested again from the start after the first
		// attempt failed.
		Restarted int `json:"restarted"`
		// CacheHitRatio is the share of prompt tokens found in a prefix cache, from the second
		// turn of each chat on.
		CacheHitRatio float64  `json:"reuse"`
		Done          int      `json:"booked"`
		NotRun        int      `json:"not-run"`
		Unknown       int      `json:"unknown"`
		Errors        []string `json:"errors,omitempty"`
		// NotRunKeys and DoneKeys are the idempotency keys by outcome; Verify compares them
		// with the calls that the order servers executed.
		NotRunKeys []string `json:"-"`
		DoneKeys   []string `json:"-"`
	}

	// Result is a Summary with its ExecutionCheck, as printed by Run.
	Result struct {
		Summary
		ExecutionCheck
	}

	loadRun struct {
		config Config
		client *client.Client

		mu                         sync.Mutex
		summary                    Summary
		promptTokens, cachedTokens int
	}
)

// Run parses the flags in args, generates the load, verifies it and prints the Result as JSON
// to standard output. It returns an error if an answer is wrong or failed, or a call broke the
// at-most-once guarantee.
func Run(ctx context.Context, args []string) error {
	var cfg Config
	flags := flag.NewFlagSet("caller", flag.ContinueOnError)
	routers := flags.String("routers", "", "addresses of the routers, as IP:port,IP:port")
	flags.StringVar(&cfg.Token, "token", "", "token of the workspace")
	flags.StringVar(&cfg.Model, "model", "", "model to request")
	flags.IntVar(&cfg.Chats, "chats", 20, "number of chats")
	flags.IntVar(&cfg.Turns, "turns", 3, "number of requests in each chat")
	flags.DurationVar(&cfg.Pause, "pause", 200*time.Millisecond, "time between the requests of a chat")
	flags.StringVar(&cfg.Service, "service", "", "service to call")
	flags.StringVar(&cfg.Method, "method", "", "at-most-once method of the service")
	flags.IntVar(&cfg.AtMostOnceCalls, "bookings", 0, "number of at-most-once calls")
	flags.IntVar(&cfg.Parallel, "parallel", 16, "maximum number of chats and calls in flight")
	orders := flags.String("orders", "", "order servers to verify against, as IP:port,IP:port")
	engines := flags.String("engines", "", "engines to compare the load of, as IP:port,IP:port")
	if err := flags.Parse(args); err != nil {
		return err
	}
	cfg.Routers = strings.Split(*routers, ",")
	result := Result{Summary: RunLoad(ctx, cfg)}
	var err error
	if result.ExecutionCheck, err = Verify(ctx, result.Summary, splitAddresses(*orders), splitAddresses(*engines)); err != nil {
		return err
	}
	if err := json.NewEncoder(os.Stdout).Encode(result); err != nil {
		return err
	}
	return result.violation()
}

// violation returns an error if an answer was wrong or failed, or an at-most-once call ran a
// number of times that contradicts its outcome.
func (r Result) violation() error {
	if r.Wrong+r.Failed+r.Duplicates+r.RefusedButRun+r.DoneButNotRun > 0 {
		return errors.New("verification failed: wrong or failed answers, or violated at-most-once calls; see the summary")
	}
	return nil
}

func splitAddresses(list string) []string {
	if list == "" {
		return nil
	}
	return strings.Split(list, ",")
}

// RunLoad makes the configured calls, at most Parallel at a time, and returns their outcomes.
func RunLoad(ctx context.Context, cfg Config) Summary {
	c, stop := client.New(client.WithRouters(cfg.Routers...), client.WithToken(cfg.Token), client.WithMaxAttempts(10))
	defer stop()
	r := &loadRun{config: cfg, client: c}
	group := errgroup.Group{}
	group.SetLimit(cfg.Parallel)
	for i := range max(cfg.Chats, cfg.AtMostOnceCalls) {
		if i < cfg.Chats {
			group.Go(func() error { r.runChat(ctx, i); return nil })
		}
		if i < cfg.AtMostOnceCalls {
			group.Go(func() error { r.callAtMostOnce(ctx, i); return nil })
		}
	}
	_ = group.Wait()
	if r.promptTokens > 0 {
		r.summary.CacheHitRatio = float64(r.cachedTokens) / float64(r.promptTokens)
	}
	return r.summary
}

// runChat makes the turns of one chat; each request carries all previous messages.
func (r *loadRun) runChat(ctx context.Context, n int) {
	opening := fmt.Sprintf("pattern %d %s", n, strings.Repeat("row ", promptWords))
	messages := []client.Message{{Role: "user", Content: opening}}
	for turn := range r.config.Turns {
		answer, err := r.chatWithRestart(ctx, messages)
		r.recordAnswer(messages, turn, answer, err)
		if err != nil {
			return
		}
		messages = append(messages,
			client.Message{Role: "assistant", Content: answer.Text},
			client.Message{Role: "user", Content: fmt.Sprintf("and then, %d?", turn)})
		time.Sleep(r.config.Pause)
	}
}

// chatWithRestart requests an answer, and once more from the start if the first attempt fails, as a
// user would do on seeing that the answer is incomplete.
func (r *loadRun) chatWithRestart(ctx context.Context, messages []client.Message) (client.Completion, error) {
	req := client.ChatRequest{Model: r.config.Model, Messages: messages}
	answer, err := r.client.Chat(ctx, req, nil)
	if err == nil {
		return answer, nil
	}
	r.mu.Lock()
	r.summary.Restarted++
	r.mu.Unlock()
	return r.client.Chat(ctx, req, nil)
}

// recordAnswer compares an answer with the expected one and updates the summary.
func (r *loadRun) recordAnswer(messages []client.Message, turn int, a client.Completion, err error) {
	want := make([]engine.Message, 0, len(messages))
	for _, m := range messages {
		want = append(want, engine.Message{Role: m.Role, Content: m.Content})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.summary.Requested++
	r.summary.Resumed += a.Resumes
	switch {
	case err != nil:
		r.summary.Failed++
		r.summary.Errors = append(r.summary.Errors, err.Error())
	case a.Text != strings.Join(engine.Answer(r.config.Model, want), ""):
		r.summary.Wrong++
	default:
		r.summary.Correct++
	}
	if turn > 0 {
		r.promptTokens += a.PromptTokens
		r.cachedTokens += a.CachedTokens
	}
}

func (r *loadRun) callAtMostOnce(ctx context.Context, n int) {
	key := client.NewKey()
	body := fmt.Appendf(nil, `{"batch":%d}`, n)
	_, err := r.client.Call(ctx, r.config.Service, r.config.Method, key, body)
	r.mu.Lock()
	defer r.mu.Unlock()
	var f *outcome.Failure
	switch {
	case err == nil:
		r.summary.Done++
		r.summary.DoneKeys = append(r.summary.DoneKeys, key)
	case errors.As(err, &f) && f.Status == outcome.NotRun:
		r.summary.NotRun++
		r.summary.NotRunKeys = append(r.summary.NotRunKeys, key)
		r.summary.Errors = append(r.summary.Errors, err.Error())
	default:
		r.summary.Unknown++
		r.summary.Errors = append(r.summary.Errors, err.Error())
	}
}
