package witness

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// ID identifies an incarnation of an instance. Its upper half identifies the machine.
type ID uint64

// machineShift is the number of bits of an ID that do not identify the machine.
const machineShift = 32

// IDOf returns the ID of an incarnation, which is named MACHINE/START.
func IDOf(incarnation string) ID {
	machine := xxhash.Sum64String(MachineOf(incarnation)) >> machineShift << machineShift
	return ID(machine | xxhash.Sum64String(incarnation)>>machineShift)
}

// MachineOf returns the machine of an incarnation.
func MachineOf(incarnation string) string {
	machine, _, _ := strings.Cut(incarnation, "/")
	return machine
}

// SameMachine reports whether two IDs are of incarnations on one machine.
func SameMachine(a, b ID) bool { return a>>machineShift == b>>machineShift }
