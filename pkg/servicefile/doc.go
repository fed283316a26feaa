// Package servicefile reads, checks and renders service files: the short
// files, in JSON with comments, by which operators describe each service. A
// set of checked files becomes the configuration that is in force:
//
//	files, err := servicefile.ReadPaths("services/")
//	if err != nil {
//		return err // a *CheckError that lists every fault
//	}
//	catalogue, err := servicefile.Catalogue(revision, files)
package servicefile
