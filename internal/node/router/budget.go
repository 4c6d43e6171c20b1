package router

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hickoryrock/internal/policy/retries"
)

// refusalReasons are the values of the reason label for refused retries.
var refusalReasons = map[retries.Verdict]string{
	retries.WorkspaceSpent: "workspace-spent",
	retries.ServiceSpent:   "service-spent",
}

// budget limits the retries of this router. It implements dispatch.Budget.
type budget struct {
	budgets *retries.Budgets
}

// Request implements dispatch.Budget.
func (b *budget) Request(workspace, service string) {
	b.budgets.Request(time.Now(), workspace, service)
}

// Retry implements dispatch.Budget.
func (b *budget) Retry(workspace, service string, fraction float64) bool {
	now := time.Now()
	b.budgets.SetFraction(now, service, fraction)
	v := b.budgets.Retry(now, workspace, service)
	if v == retries.Allowed {
		return true
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`hickoryrock_retry_refusals_total{reason=%q}`, refusalReasons[v])).Inc()
	return false
}
