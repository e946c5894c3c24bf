package ticket_test

import (
	"testing"

	"github.com/hemlockdyke/hemlockdyke/internal/testkit"
)

func TestTicket(t *testing.T) { testkit.Run(t, "tickets") }
