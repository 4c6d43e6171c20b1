// Package page renders the daily report of a workspace as text or HTML.
package page

import (
	_ "embed" // For the page template.
	"fmt"
	"html/template"
	"io"
	"sort"
	"strings"
	"time"

	"hickoryrock/internal/caller/outcome"
	"hickoryrock/internal/report/tally"
)

//go:embed page.html
var templateText string

var pageTemplate = template.Must(template.New("page").Parse(templateText))

type (
	// Input holds the data of a page.
	Input struct {
		Workspace string
		Date      string
		Zone      *time.Location
		// LateAfter is the wait after which the workspace considers a response late.
		LateAfter time.Duration
		Day       *tally.Day
		// Missing maps the routers that stopped without delivering their last
		// counts to the time of their last delivery.
		Missing map[string]time.Time
		// Written is the time at which the page is generated.
		Written time.Time
	}

	// Page holds the formatted contents of the page.
	Page struct {
		Workspace string
		Date      string
		Written   string
		// Good is true if nothing needs the owner's attention.
		Good    bool
		Verdict string
		Lines   []string
		Unknown []Unknown
		Gaps    []string
		Bars    []Bar
	}

	// Unknown is one call that the owner should look up.
	Unknown struct {
		Key    string
		Time   string
		What   string
		Advice string
	}

	// Bar is one hour of the day's chart.
	Bar struct {
		Hour    int
		Arrived int
		Late    int
		// Trouble counts calls that were not executed, unknown or interrupted.
		Trouble int
		// X, the heights and the tops are in units of the SVG view box, in which
		// bars are up to 100 high.
		X             int
		ArrivedHeight int
		ArrivedTop    int
		TroubleHeight int
		TroubleTop    int
	}
)

const (
	barPitch  = 24
	barHeight = 100
)

// New formats the counts of a day. Input.Day may be nil.
func New(in Input) Page {
	day := in.Day
	if day == nil {
		day = &tally.Day{}
	}
	total := day.Total()
	p := Page{
		Workspace: in.Workspace,
		Date:      in.Date,
		Written:   in.Written.In(in.Zone).Format("2006-01-02 15:04"),
		Unknown:   unknownCalls(day, in.Zone),
		Gaps:      missingCounts(in),
		Bars:      chartBars(day),
	}
	p.Good = total.Unknown == 0 && total.NotRun == 0 && total.Late == 0 && total.Interrupted <= 0 && len(p.Gaps) == 0
	p.Verdict = verdict(total, len(p.Gaps) > 0)
	p.Lines = summaryLines(in, total, day.Refusals)
	return p
}

// verdict returns the first line of the page, which summarizes the day.
func verdict(t tally.Hour, gaps bool) string {
	switch {
	case t.Asked == 0 && gaps:
		return "We cannot say how today went: counts are missing."
	case t.Asked == 0:
		return "Nothing was asked today."
	case t.Unknown > 0:
		return fmt.Sprintf("Please look at %s below: we cannot say whether %s done.",
			count(t.Unknown, "call"), plural(t.Unknown, "it was", "they were"))
	case t.NotRun > 0:
		return fmt.Sprintf("Mostly well: nothing was done twice, but %s turned away.",
			count(t.NotRun, "call")+plural(t.NotRun, " was", " were"))
	case t.Interrupted > 0:
		return fmt.Sprintf("Mostly well, but %s cut off before the end.",
			count(t.Interrupted, "answer")+plural(t.Interrupted, " was", " were"))
	case t.Late > 0:
		return fmt.Sprintf("Mostly well, but %s late.", count(t.Late, "answer")+plural(t.Late, " was", " were"))
	case gaps:
		return "All well as far as we can see; some counts are missing."
	default:
		return "All well today."
	}
}

func summaryLines(in Input, t tally.Hour, refusals map[outcome.Reason]int) []string {
	list := []string{
		fmt.Sprintf("%d of %s arrived.", t.Arrived, count(t.Asked, "request")+" asked"),
		fmt.Sprintf("%s longer than your target of %s; the longest wait was %s.",
			count(t.Late, "answer")+" took", in.LateAfter, t.LongestWait.Round(time.Millisecond)),
		fmt.Sprintf("%s made, each once.", count(t.Booked, "booking")+plural(t.Booked, " was", " were")),
	}
	if t.NotRun > 0 {
		list = append(list, fmt.Sprintf("%s turned away and not done: %s.",
			count(t.NotRun, "call")+plural(t.NotRun, " was", " were"), formatReasons(refusals)))
	}
	if t.Interrupted > 0 {
		list = append(list, fmt.Sprintf("%s not read to the end.", count(t.Interrupted, "answer")+plural(t.Interrupted, " was", " were")))
	}
	return list
}

// reasonTexts maps the most common reasons to texts for workspace owners.
var reasonTexts = map[outcome.Reason]string{
	outcome.ReasonOverloaded:          "the system was full",
	outcome.ReasonWorkspaceLimit:      "more was asked at once than agreed",
	outcome.ReasonNoTarget:            "no server was free to answer",
	outcome.ReasonLeaving:             "a machine was being replaced",
	outcome.ReasonPlatformUnavailable: "bookings could not be recorded safely",
	outcome.ReasonTargetRefused:       "the server turned the call away",
	outcome.ReasonTargetUnreachable:   "the server could not be reached",
	outcome.ReasonConnectionLost:      "the connection broke",
	outcome.ReasonTargetSilent:        "the server stopped answering",
	outcome.ReasonTargetFailed:        "the server made an error",
	outcome.ReasonInProgress:          "the same booking was still being made",
	outcome.ReasonCancelled:           "the caller hung up",
}

func formatReasons(refusals map[outcome.Reason]int) string {
	list := make([]string, 0, len(refusals))
	for r, n := range refusals {
		text, ok := reasonTexts[r]
		if !ok {
			text = strings.ReplaceAll(string(r), "-", " ")
		}
		list = append(list, fmt.Sprintf("%s (%d)", text, n))
	}
	sort.Strings(list)
	return strings.Join(list, ", ")
}

func unknownCalls(d *tally.Day, zone *time.Location) []Unknown {
	list := make([]Unknown, 0, len(d.UnknownCalls))
	for _, u := range d.UnknownCalls {
		why, ok := reasonTexts[u.Reason]
		if !ok {
			why = strings.ReplaceAll(string(u.Reason), "-", " ")
		}
		list = append(list, Unknown{
			Key:    u.Key,
			Time:   u.Time.In(zone).Format("15:04"),
			What:   fmt.Sprintf("%s at %s: %s", u.Method, u.Service, why),
			Advice: "Look for this key in your order book. If it is there, nothing is left to do; if not, make the booking again.",
		})
	}
	if len(list) == tally.MaxUnknown {
		list = append(list, Unknown{What: "there may be more", Advice: "Only the first are listed here; ask the operators for the rest."})
	}
	return list
}

func missingCounts(in Input) []string {
	list := make([]string, 0, len(in.Missing))
	for name, last := range in.Missing {
		list = append(list, fmt.Sprintf("%s stopped after %s without handing over its last counts; a few calls may be missing here.",
			name, last.In(in.Zone).Format("15:04:05")))
	}
	sort.Strings(list)
	return list
}

func chartBars(d *tally.Day) []Bar {
	maxCalls := 1
	for _, h := range d.Hours {
		maxCalls = max(maxCalls, h.Arrived+failedCalls(h))
	}
	list := make([]Bar, 0, tally.HoursPerDay)
	for hour := range tally.HoursPerDay {
		b := Bar{Hour: hour, X: hour * barPitch, ArrivedTop: barHeight, TroubleTop: barHeight}
		if h, ok := d.Hours[hour]; ok {
			b.Arrived, b.Late, b.Trouble = h.Arrived, h.Late, failedCalls(h)
			b.ArrivedHeight = h.Arrived * barHeight / maxCalls
			b.TroubleHeight = b.Trouble * barHeight / maxCalls
			b.ArrivedTop = barHeight - b.ArrivedHeight
			b.TroubleTop = b.ArrivedTop - b.TroubleHeight
		}
		list = append(list, b)
	}
	return list
}

func failedCalls(h *tally.Hour) int {
	return h.NotRun + h.Unknown + max(0, h.Interrupted)
}

// WriteText writes the page for a terminal.
func (p Page) WriteText(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s\n\n%s, %s\n\n", p.Verdict, p.Workspace, p.Date)
	for _, l := range p.Lines {
		fmt.Fprintf(&b, "  %s\n", l)
	}
	for _, u := range p.Unknown {
		fmt.Fprintf(&b, "\n  %s  %s\n    %s\n    %s\n", u.Time, u.Key, u.What, u.Advice)
	}
	for _, g := range p.Gaps {
		fmt.Fprintf(&b, "\n  %s\n", g)
	}
	b.WriteString("\n")
	for _, bar := range p.Bars {
		if bar.Arrived+bar.Trouble == 0 {
			continue
		}
		fmt.Fprintf(&b, "  %02d:00 %s%s %d arrived, %d not\n", bar.Hour,
			strings.Repeat("#", bar.ArrivedHeight/5), strings.Repeat("!", bar.TroubleHeight/5), bar.Arrived, bar.Trouble)
	}
	fmt.Fprintf(&b, "\nWritten %s.\n", p.Written)
	_, err := io.WriteString(w, b.String())
	return err
}

// WriteHTML writes the page as a self-contained HTML document.
func (p Page) WriteHTML(w io.Writer) error {
	return pageTemplate.Execute(w, p)
}

func count(n int, noun string) string {
	return fmt.Sprintf("%d %s%s", n, noun, plural(n, "", "s"))
}

func plural(n int, one, many string) string {
	if n == 1 {
		return one
	}
	return many
}
