// Package daily builds the daily report of a workspace and serves it over HTTP
// and as a command.
package daily

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"hickoryrock/internal/operator/resource"
	"hickoryrock/internal/platform/objects"
	"hickoryrock/internal/report/collect"
	"hickoryrock/internal/report/page"
	"hickoryrock/internal/report/tally"
)

const defaultLateAfter = 2 * time.Second

// BuildPage reads a workspace's counts of a day and builds the report page. An
// empty date means today in the workspace's time zone.
func BuildPage(ctx context.Context, store objects.Store, w resource.Workspace, date string, now time.Time) (page.Page, error) {
	zone, err := time.LoadLocation(w.TimeZone)
	if err != nil {
		return page.Page{}, eris.Wrapf(err, "time zone of %s", w.Name)
	}
	if date == "" {
		date = now.In(zone).Format(tally.DateFormat)
	}
	day, err := collect.ReadDay(ctx, store, w.Name, date, now, collect.MissingAfter())
	if err != nil {
		return page.Page{}, err
	}
	lateAfter := time.Duration(w.LateAfter)
	if lateAfter == 0 {
		lateAfter = defaultLateAfter
	}
	return page.New(page.Input{
		Workspace: w.Name,
		Date:      date,
		Zone:      zone,
		LateAfter: lateAfter,
		Day:       day.Counts,
		Missing:   day.Missing,
		Written:   now,
	}), nil
}

// Serve handles an HTTP request for a workspace's report. The query parameter day
// selects the day; the default is today.
func Serve(w http.ResponseWriter, r *http.Request, store objects.Store, workspace resource.Workspace) {
	date := r.URL.Query().Get("day")
	if _, err := time.Parse(tally.DateFormat, date); date != "" && err != nil {
		http.Error(w, "the day is written as 2026-12-04", http.StatusBadRequest)
		return
	}
	p, err := BuildPage(r.Context(), store, workspace, date, time.Now())
	if err != nil {
		http.Error(w, "the counts cannot be read at the moment; please try again later", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.Header().Set("Cache-Control", "no-store")
	_ = p.WriteHTML(w)
}
