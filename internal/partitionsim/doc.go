// Package partitionsim holds a random simulation, in virtual time, of several instances
// that own a cell in turn, with their store, their workers and a network of islands. It
// joins the cores of packages core/term and core/cell as package instance does, so that who
// owns the cell follows from the faults and not from the test.
//
// The package has only tests. Times are those of package platform.
package partitionsim
