package witness

// MaxWitnesses is the number of witnesses that an owner names if it finds so many.
const MaxWitnesses = 5

// Consents returns how many of n witnesses must consent to a claim. It is a minority, as
// hosts fail more often than the store: a claim must not wait for hosts that are down.
func Consents(n int) int { return max(1, n/2) }

// Promises returns how many of n witnesses must promise for an owner to keep its term without the
// store. Any so many have a witness in common with any Consents(n).
func Promises(n int) int { return n - Consents(n) + 1 }
