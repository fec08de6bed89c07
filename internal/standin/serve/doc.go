// Package serve holds what the stand-ins' HTTP interfaces do alike: decode a
// bounded JSON body, call, and encode the answer or the problem.
package serve
