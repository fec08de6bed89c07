package config

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

const (
	fleetWorkers  = 13_000
	fleetAccounts = 110
)

func BenchmarkValidateLargeFleet(b *testing.B) {
	doc := fleetOf(fleetWorkers, fleetAccounts)
	b.ReportAllocs()
	for b.Loop() {
		if err := Validate(doc); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkParseLargeFleet(b *testing.B) {
	text, err := Encode(fleetOf(fleetWorkers, fleetAccounts))
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(text)), "text-bytes")
	for b.Loop() {
		if _, err := Parse(text); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkDiffLargeFleet(b *testing.B) {
	x, y := fleetOf(fleetWorkers, fleetAccounts), fleetOf(fleetWorkers, fleetAccounts)
	y.Accounts[3].Share = 2
	for b.Loop() {
		if len(Diff(x, y)) != 1 {
			b.Fatal("want one change")
		}
	}
}

func BenchmarkEffective(b *testing.B) {
	doc := fleetOf(64, fleetAccounts)
	now := time.Now()
	for b.Loop() {
		doc.Effective(now, "team-100", "check")
	}
}

// BenchmarkMemoryPerWorker reports the heap that each additional worker in a document takes.
func BenchmarkMemoryPerWorker(b *testing.B) {
	for b.Loop() {
		small, large := heapOf(1_000, 0), heapOf(fleetWorkers, 0)
		b.ReportMetric((large-small)/(fleetWorkers-1_000), "B/worker")
	}
}

// BenchmarkMemoryPerAccount reports the heap that each additional account in a document takes.
func BenchmarkMemoryPerAccount(b *testing.B) {
	for b.Loop() {
		small, large := heapOf(64, 10), heapOf(64, 1_010)
		b.ReportMetric((large-small)/1_000, "B/account")
	}
}

func heapOf(workers, accounts int) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	doc := fleetOf(workers, accounts)
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(doc)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

func BenchmarkEffectiveWithManyExceptions(b *testing.B) {
	const exceptions = 300
	doc := fleetOf(64, fleetAccounts)
	for i := range exceptions {
		doc.Exceptions = append(doc.Exceptions, Exception{
			ID: fmt.Sprint("e", i), Account: doc.Accounts[i%fleetAccounts].Name, Concurrency: ptr(i),
		})
	}
	now := time.Now()
	for b.Loop() {
		doc.Effective(now, "team-100", "check")
	}
}
