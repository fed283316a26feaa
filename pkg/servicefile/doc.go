// Package servicefile reads, validates and renders service files: short files,
// in JSON with comments, in which operators describe the services. A set of
// valid files becomes the configuration in force:
//
//	files, err := servicefile.ReadPaths("services/")
//	if err != nil {
//		return err // a *CheckError that lists every fault
//	}
//	catalogue, err := servicefile.Catalogue(revision, files)
package servicefile
