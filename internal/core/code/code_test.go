package code_test

import (
	"fmt"
	"os"
	"regexp"
	"sort"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hemlockdyke/hemlockdyke/internal/core/code"
)

// tableRow returns the row of a code in docs/ERRORS.md.
func tableRow(c code.Code, info code.Info) string {
	status := "-"
	if info.Status != 0 {
		status = fmt.Sprint(info.Status)
	}
	return fmt.Sprintf("| %d | %s | %s | %s | %s |", int(c), info.Name, status, info.Execution, info.Remedy)
}

var _ = Describe("docs/ERRORS.md", func() {
	It("lists exactly the codes of the table", func() {
		data, err := os.ReadFile("../../../docs/ERRORS.md")
		Expect(err).NotTo(HaveOccurred())
		var want []string
		for c, info := range code.All() {
			want = append(want, tableRow(c, info))
		}
		sort.Strings(want)
		got := regexp.MustCompile(`(?m)^\| \d+ \|.*$`).FindAllString(string(data), -1)
		sort.Strings(got)
		Expect(got).To(Equal(want), strings.Join(want, "\n"))
	})
})

var _ = Describe("result codes", func() {
	It("never promise that a request with an unlisted code was not executed", func() {
		Expect(code.Code(9999).Lookup().Execution).To(Equal(code.ExecutionUnknown))
	})

	It("promise that the request was not executed if it was refused before dispatch, and not if it failed later", func() {
		for c, info := range code.All() {
			switch int(c) / 1000 {
			case 3:
				Expect(info.Execution).To(Equal(code.Executed), info.Name)
			case 4:
				Expect(info.Execution).To(Equal(code.ExecutionUnknown), info.Name)
			case 2:
				if c != code.InProgress {
					Expect(info.Execution).To(Equal(code.NotExecuted), info.Name)
				}
			}
		}
	})
})
