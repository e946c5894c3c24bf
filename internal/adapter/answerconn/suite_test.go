package answerconn_test

import (
	"testing"

	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

func TestSuite(t *testing.T) { testkit.Run(t, "answerconn") }
