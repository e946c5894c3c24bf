package member_test

import (
	"testing"

	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

func TestMember(t *testing.T) { testkit.Run(t, "membership") }
