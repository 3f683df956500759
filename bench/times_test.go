package bench_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/bramleydoor/bramleydoor/demo"
	"github.com/bramleydoor/bramleydoor/ticket"
)

// startDeployment starts a deployment's VMs and fakes. The context ends after 5
// minutes.
func startDeployment(b *testing.B, name string) (context.Context, *demo.Cluster) {
	b.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute)
	b.Cleanup(cancel)
	cluster := &demo.Cluster{Deployment: demo.Deployments[name], Seed: 1}
	if err := cluster.Start(ctx); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(cluster.Kill)
	if err := cluster.AwaitReady(ctx); err != nil {
		b.Fatal(err)
	}
	return ctx, cluster
}

// timeUntil returns the time until the condition is true. It fails the benchmark after
// 1 minute.
func timeUntil(b *testing.B, isTrue func() bool) time.Duration {
	b.Helper()
	began := time.Now()
	for !isTrue() {
		time.Sleep(time.Millisecond)
		if time.Since(began) > time.Minute {
			b.Fatal("the condition did not become true within 1 minute")
		}
	}
	return time.Since(began)
}

// BenchmarkTicketInForce measures the time from the submission of a ticket until it is in
// force on all of five VMs (target: 6 s).
func BenchmarkTicketInForce(b *testing.B) {
	ctx, cluster := startDeployment(b, "authority")
	var longest time.Duration
	for number := 2; b.Loop(); number++ {
		next := ticket.Ticket{ID: fmt.Sprint("t", number), Rules: []ticket.Rule{{Name: "usual"}}}
		began := time.Now()
		if err := cluster.Submit(ctx, next); err != nil {
			b.Fatal(err)
		}
		timeUntil(b, func() bool {
			for _, node := range cluster.VMs {
				if node.VM().Status().Number < uint64(number) {
					return false
				}
			}
			return true
		})
		longest = max(longest, time.Since(began))
	}
	b.ReportMetric(float64(longest.Milliseconds()), "longest-ms")
}

// BenchmarkShareReturn measures the time from the kill of a VM until the other VMs have
// taken over its connection share (target: 5 s).
func BenchmarkShareReturn(b *testing.B) {
	ctx, cluster := startDeployment(b, "authority")
	name := cluster.Deployment.GroupNames()[0]
	var longest time.Duration
	for i := 0; b.Loop(); i++ {
		node := cluster.VMs[i%len(cluster.VMs)]
		node.Kill()
		took := timeUntil(b, func() bool {
			total := 0
			for _, other := range cluster.VMs {
				if other != node {
					total += other.VM().Status().Groups[name].Pool.Share
				}
			}
			return total == cluster.Deployment.ConnectionLimit
		})
		longest = max(longest, took)
		b.StopTimer()
		if err := node.Restart(); err != nil {
			b.Fatal(err)
		}
		if err := cluster.AwaitReady(ctx); err != nil {
			b.Fatal(err)
		}
		b.StartTimer()
	}
	b.ReportMetric(float64(longest.Milliseconds()), "longest-ms")
}
