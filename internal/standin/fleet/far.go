package fleet

// farSlowdown returns the factor by which a run takes longer away from its data, or in a gang that
// is to be on one rack and is not.
func (f *Fleet) farSlowdown(run *taskRun) float64 {
	if f.FarFactor == 0 {
		return 1
	}
	rack := run.machine.Rack
	if run.step.DataRack != "" && run.step.DataRack != rack {
		return f.FarFactor
	}
	if run.step.Gang && run.step.SameRack {
		for _, o := range f.members(run) {
			if o.machine.Rack != rack {
				return f.FarFactor
			}
		}
	}
	return 1
}
