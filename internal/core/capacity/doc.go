// Package capacity ranks the machines of a fleet by how fit they are to own a cell.
//
// Load pattern: an owner's work grows with its cell and is done on one machine. A fixed limit takes
// machines for equal that differ by a factor, and in a fleet that lies below it no machine counts as
// strong. So a machine is ranked against the strongest one that is known.
package capacity
