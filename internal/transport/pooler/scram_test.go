package pooler

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against messages that servers reject, using the example of RFC 7677,
// and against accepting a server that does not know the password.
func TestSCRAMExampleOfRFC7677(t *testing.T) {
	s := &scramClient{password: "pencil", clientNonce: "rOprNGfwEbeRWgbNEkqO"}
	qt.Assert(t, s.clientFirst("user"), qt.Equals, "n,,n=user,r=rOprNGfwEbeRWgbNEkqO")
	qt.Assert(t, s.verifyServerFinal("v="), qt.IsNotNil)
	final, err := s.clientFinal("r=rOprNGfwEbeRWgbNEkqO%hvYDpWUa2RaTCAfuxFIlj)hNlF$k0,s=W22ZaJ0SNY7soEsUEjb6gQ==,i=4096")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, final, qt.Equals,
		"c=biws,r=rOprNGfwEbeRWgbNEkqO%hvYDpWUa2RaTCAfuxFIlj)hNlF$k0,p=dHzbZapWIk4jUhN+Ute9ytag9zjfMHgsqmmiz7AndVQ=")
	qt.Assert(t, s.verifyServerFinal("v=6rriTRBi23WpRR/wtup+mMhUZUn/dB5nLTJRsjl95G4="), qt.IsNil)
	qt.Assert(t, s.verifyServerFinal("v=7rriTRBi23WpRR/wtup+mMhUZUn/dB5nLTJRsjl95G4="), qt.IsNotNil)
	for _, challenge := range []string{"", "r=other,s=AAAA,i=1", "r=rOprNGfwEbeRWgbNEkqO,s=AAAA,i=1", "r=rOprNGfwEbeRWgbNEkqOx,s=AAAA,i=0"} {
		_, err := s.clientFinal(challenge)
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%q", challenge))
	}
}
