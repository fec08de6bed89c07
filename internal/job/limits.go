package job

// MaxSteps is the maximum number of steps of a job.
const MaxSteps = maxSteps
