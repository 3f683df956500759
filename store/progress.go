package store

import "context"

type progressKey struct{}

// withProgress returns a context whose calls report that their answer begins to arrive.
func withProgress(ctx context.Context, report func()) context.Context {
	return context.WithValue(ctx, progressKey{}, report)
}

// ReportProgress is called by a Tree when the answer to a call begins to arrive. ctx is that of
// the call.
func ReportProgress(ctx context.Context) {
	if report, ok := ctx.Value(progressKey{}).(func()); ok {
		report()
	}
}
