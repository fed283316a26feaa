package servicefile

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// ReadPaths reads and checks the service files that the paths name. A path to
// a directory stands for the files in it, but not below it, whose names end in
// ".json". A *CheckError holds the faults of all files together.
func ReadPaths(paths ...string) ([]File, error) {
	names, err := expand(paths)
	if err != nil {
		return nil, err
	}
	var files []File
	var faults []*FaultError
	for _, name := range names {
		f, err := readFile(name)
		var check *CheckError
		switch {
		case errors.As(err, &check):
			faults = append(faults, check.Faults...)
		case err != nil:
			return nil, err
		default:
			files = append(files, *f)
		}
	}
	var check *CheckError
	if errors.As(Check(files), &check) {
		faults = append(faults, check.Faults...)
	}
	if err := checkError(faults); err != nil {
		return nil, err
	}
	return files, nil
}

func readFile(name string) (*File, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("service file: %w; check the path", err)
	}
	return Parse(name, text)
}

// expand replaces directories by their service files. A file that two paths
// lead to is taken once.
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
		return nil, fmt.Errorf("service file: %w; check the path", err)
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	entries, err := os.ReadDir(path)
	if err != nil {
		return nil, fmt.Errorf("service files of %s: %w; check the permissions", path, err)
	}
	var names []string
	for _, e := range entries {
		if !e.IsDir() && filepath.Ext(e.Name()) == ".json" {
			names = append(names, filepath.Join(path, e.Name()))
		}
	}
	if len(names) == 0 {
		return nil, fmt.Errorf("service files of %s: no file ends in .json; check the path", path)
	}
	return names, nil
}
