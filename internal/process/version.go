package process

import "runtime/debug"

// Version returns the VCS revision that the program was built from, or the module
// version if the revision is not known.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value
		}
	}
	return info.Main.Version
}
