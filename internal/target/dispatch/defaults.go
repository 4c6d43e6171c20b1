package dispatch

import (
	"context"

	"hickoryrock/internal/operator/catalog"
)

type (
	// unlimitedPermits grants every permit; it is the default without WithPermits.
	unlimitedPermits struct{}

	// unlimitedBudget allows every retry; it is the default without WithBudget.
	unlimitedBudget struct{}
)

// Acquire implements Permits.
func (unlimitedPermits) Acquire(context.Context, string, catalog.Target, int) (Verdict, func()) {
	return Granted, func() {}
}

// Request implements Budget.
func (unlimitedBudget) Request(string, string) {}

// Retry implements Budget.
func (unlimitedBudget) Retry(string, string, float64) bool { return true }
