package cli

import (
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/hemlockdyke/hemlockdyke/internal/explain"
)

// explainRequest prints the log entries of a request and the cause of its outcome. It reads log
// files, or standard input if there are none.
func (a *App) explainRequest(request string, files []string) error {
	readers, closeAll, err := openLogs(files)
	defer closeAll()
	if err != nil {
		return err
	}
	entries, err := explain.Read(io.MultiReader(readers...), request)
	if err != nil {
		return errors.Wrap(err, "read logs")
	}
	explain.Print(a.out, request, entries)
	return nil
}

// openLogs opens log files. closeAll closes those that were opened, also after an error.
func openLogs(files []string) (readers []io.Reader, closeAll func(), err error) {
	var open []*os.File
	closeAll = func() {
		for _, f := range open {
			_ = f.Close() // opened for reading only
		}
	}
	if len(files) == 0 {
		return []io.Reader{os.Stdin}, closeAll, nil
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, closeAll, errors.Wrap(err, "open log file")
		}
		open = append(open, f)
		readers = append(readers, f)
	}
	return readers, closeAll, nil
}
