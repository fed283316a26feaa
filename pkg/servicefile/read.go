package servicefile

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// PathError reports a path from which no service file could be read.
type PathError struct {
	Path string
	Err  error
}

// Error names the path and says what to do.
func (e *PathError) Error() string {
	return fmt.Sprintf("service files of %s: %v; check the path", e.Path, e.Err)
}

// Unwrap returns the cause.
func (e *PathError) Unwrap() error { return e.Err }

var errNoFile = errors.New("no file ends in .json")

// ReadPaths reads and checks the service files at the given paths. The path of a
// directory stands for the files directly in it whose names end in ".json". Its
// error is a *PathError, or a *CheckError with the faults of all files.
func ReadPaths(paths ...string) ([]File, error) {
	names, err := expand(paths)
	if err != nil {
		return nil, err
	}
	var files []File
	var faults []*FaultError
	for _, name := range names {
		text, err := os.ReadFile(name)
		if err != nil {
			return nil, &PathError{Path: name, Err: err}
		}
		f, found := parse(name, text)
		files = append(files, *f)
		faults = append(faults, found...)
	}
	faults = append(faults, checkFiles(files)...)
	if err := checkError(faults); err != nil {
		return nil, err
	}
	return files, nil
}

// expand replaces directories by the service files in them, and drops duplicate
// paths.
func expand(paths []string) ([]string, error) {
	var names []string
	seen := make(map[string]bool)
	for _, path := range paths {
		found, err := expandPath(path)
		if err != nil {
			return nil, err
		}
		for _, name := range found {
			if !seen[filepath.Clean(name)] {
				seen[filepath.Clean(name)] = true
				names = append(names, name)
			}
		}
	}
	return names, nil
}

func expandPath(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, &PathError{Path: path, Err: err}
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	entries, err := os.ReadDir(path)
	if err != nil {
		return nil, &PathError{Path: path, Err: err}
	}
	var names []string
	for _, e := range entries {
		if !e.IsDir() && filepath.Ext(e.Name()) == ".json" {
			names = append(names, filepath.Join(path, e.Name()))
		}
	}
	if len(names) == 0 {
		return nil, &PathError{Path: path, Err: errNoFile}
	}
	return names, nil
}
