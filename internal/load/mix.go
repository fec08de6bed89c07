package load

import (
	"time"

	"coltsfootmux/internal/model"
)

const (
	kib                 = 1024
	slotCPUMilli        = 1000
	slotMemoryMB        = 2 * kib
	acceleratorMemoryMB = 8 * kib
)

func slotShape() model.Shape {
	return model.Shape{Slots: 1, CPUMilli: slotCPUMilli, MemoryMB: slotMemoryMB}
}

func acceleratorShape(n int) model.Shape {
	return model.Shape{Slots: 1, Accelerators: n, CPUMilli: 2 * slotCPUMilli, MemoryMB: acceleratorMemoryMB}
}

// Cooperative returns the ordering service's mix for the given client accounts.
func Cooperative(orders, planning model.Account) []KindSpec {
	return []KindSpec{
		{
			Kind: "reservation", Account: orders, Class: model.ClassUrgent, Members: 1, Shape: slotShape(),
			MeanRunTime: 20 * time.Millisecond, AnswerBytes: 256, RequestsPerSecond: 60, Deadline: 10 * time.Second,
		},
		{
			Kind: "standing-order-check", Account: orders, Class: model.ClassNormal, Idempotent: true, Members: 1,
			Shape: slotShape(), MeanRunTime: 40 * time.Millisecond, AnswerBytes: 2 * kib, RequestsPerSecond: 40, Deadline: 10 * time.Second,
		},
		{
			Kind: "route-plan", Account: planning, Class: model.ClassNormal, Idempotent: true, Members: 1,
			Shape: acceleratorShape(1), MeanRunTime: 400 * time.Millisecond, AnswerBytes: 64 * kib, RequestsPerSecond: 6, Deadline: 20 * time.Second,
		},
	}
}

// Observatory returns the rent index's mix for the given client accounts.
func Observatory(analysts, index model.Account) []KindSpec {
	return []KindSpec{
		{
			Kind: "listing-check", Account: analysts, Class: model.ClassUrgent, Idempotent: true, Members: 1, Shape: slotShape(),
			MeanRunTime: 30 * time.Millisecond, AnswerBytes: kib, RequestsPerSecond: 50, Deadline: 10 * time.Second,
		},
		{
			Kind: "district-recompute", Account: index, Class: model.ClassNormal, Idempotent: true, Job: true,
			Members: 16, Shape: acceleratorShape(4), Adjacency: model.AdjacentRack, MeanRunTime: 2 * time.Second, AnswerBytes: kib,
			RequestsPerSecond: 0.2, Deadline: 60 * time.Second,
		},
		{
			Kind: "listing-sweep", Account: index, Class: model.ClassBatch, Job: true, Members: 1,
			Shape: acceleratorShape(2), MeanRunTime: 600 * time.Millisecond, AnswerBytes: 4 * kib, RequestsPerSecond: 3, Deadline: 60 * time.Second,
		},
	}
}
