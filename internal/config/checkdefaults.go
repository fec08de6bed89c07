package config

// checkDefaults checks rules between different defaults.
func checkDefaults(d *Defaults) []*FieldError {
	var out []*FieldError
	if d.CheckpointWithin >= d.ReclaimWithin {
		out = append(out, &FieldError{Field: "defaults.checkpointWithin", Problem: "must be less than reclaimWithin, or a late checkpoint delays the reclaim"})
	}
	if d.LargeWait >= d.LongestWait {
		out = append(out, &FieldError{Field: "defaults.largeWait", Problem: "must be less than longestWait, or no rack is ever drained for a large job"})
	}
	if d.Weights.Completion+d.Weights.Fragmentation <= 0 {
		out = append(out, &FieldError{Field: "defaults.weights", Problem: "one weight must be more than 0"})
	}
	return out
}
