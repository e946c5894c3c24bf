package eventlog_test

import (
	"bytes"
	"os"
	"os/exec"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
)

// panicEnv, if set, makes the test binary a process whose control goroutine panics.
const panicEnv = "HEMLOCKDYKE_TEST_PANIC"

// panicAsOwner ends this process with a panic of a goroutine that owns state.
func panicAsOwner() {
	out := eventlog.NewWriter(os.Stdout)
	log := eventlog.New(zerolog.New(out), time.Now)
	log.FlushWith(out.Flush)
	log.GoOrEnd("control", func() { panic("test") })
	time.Sleep(10 * time.Second)
}

var _ = Describe("a panic", func() {
	// Guards against a process that ends by a panic and looks like one that was killed.
	It("of a goroutine that owns state is logged before it ends the process with a failure", func() {
		process := exec.Command(os.Args[0])
		process.Env = append(os.Environ(), panicEnv+"=1")
		var out bytes.Buffer
		process.Stdout = &out
		err := process.Run()
		Expect(err).To(BeAssignableToTypeOf(&exec.ExitError{}))
		Expect(process.ProcessState.ExitCode()).To(Equal(2))
		Expect(out.String()).To(MatchRegexp(`^{"level":"error","event":"panic","where":"control","request":"","value":"test","stack":"[^"]*panicAsOwner`))
		Expect(out.String()).To(HaveSuffix("\"}\n"))
	})

	// Guards against a router that loses all its open requests because one probe of a target panicked.
	It("of a bounded piece of work is logged with a bounded stack, counted and returned", func() {
		var out bytes.Buffer
		var counted []string
		log := eventlog.New(zerolog.New(&out), time.Now)
		log.OnPanic(func(where string) { counted = append(counted, where) })
		err := log.Try("probe", func() error { panicDeeply(100); return nil })
		Expect(errors.Is(err, eventlog.ErrPanic)).To(BeTrue())
		Expect(len(err.Error())).To(BeNumerically("<", 1024))
		Expect(counted).To(Equal([]string{"probe"}))
		Expect(out.String()).To(ContainSubstring("panicDeeply"))
		Expect(out.Len()).To(BeNumerically("<", 4096))
	})
})

func panicDeeply(depth int) {
	if depth == 0 {
		panic(strings.Repeat("x", 10_000))
	}
	panicDeeply(depth - 1)
}
