// Package serve contains the common parts of the stand-ins' HTTP interfaces: it
// decodes a JSON body of limited size, makes a call, and encodes the result or
// the problem.
package serve
