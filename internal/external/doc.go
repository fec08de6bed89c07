// Package external states what the product needs of the systems around it: a
// log store and the workers. Adapters implement its interfaces and turn their
// own errors into the ones here.
package external
