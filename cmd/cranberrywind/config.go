package main

import (
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"io"
	"net/url"
	"os"
	"strings"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"github.com/cranberrywind/cranberrywind/internal/control"
	"github.com/cranberrywind/cranberrywind/internal/operator"
)

func newConfig() *cobra.Command {
	cmd := &cobra.Command{Use: "config", Short: "Propose texts, vote on them and look at them"}
	cmd.AddCommand(newPropose(), newVote(), newShow(), newHistory(), newStatus(), newChange(), newKeygen())
	return cmd
}

func newPropose() *cobra.Command {
	var f operatorFlags
	var file, changeID string
	var base uint64
	cmd := &cobra.Command{
		Use:   "propose --file FILE --base VERSION",
		Short: "Put a text to the vote, if the accepted version is still the base",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			source, err := os.ReadFile(file)
			if err != nil {
				return withCode(exitInvalid, err)
			}
			if changeID == "" {
				changeID = uuid.NewString()
			}
			p := operator.Proposal{ChangeID: changeID, BaseVersion: base, Source: string(source)}
			c, err := post[control.ChangeRecord](cmd.Context(), &f, "/v1/changes", p)
			if err != nil {
				return err
			}
			return f.print(cmd.OutOrStdout(), c, func(w io.Writer) error { return writeChange(w, c) })
		},
	}
	f.add(cmd)
	cmd.Flags().StringVar(&file, "file", "", "text to propose")
	cmd.Flags().Uint64Var(&base, "base", 0, "accepted version that the text was made from")
	cmd.Flags().StringVar(&changeID, "change-id", "", "ID to use again when resending (made up if empty)")
	_ = cmd.MarkFlagRequired("file")
	_ = cmd.MarkFlagRequired("base")
	return cmd
}

func writeChange(w io.Writer, c control.ChangeRecord) error {
	_, err := fmt.Fprintf(w, "change %s on base version %d: %s", c.ChangeID, c.Base, c.State)
	if err == nil && c.Version > 0 {
		_, err = fmt.Fprintf(w, " as version %d", c.Version)
	}
	if err == nil && c.Winner != "" {
		_, err = fmt.Fprintf(w, ", won by change %s", c.Winner)
	}
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "\nhash %s\n", c.Hash)
	return err
}

type voteFlags struct {
	operatorFlags
	changeID string
	member   string
	keyFile  string
	no       bool
}

func newVote() *cobra.Command {
	var f voteFlags
	cmd := &cobra.Command{
		Use:   "vote --change ID --member NAME --key FILE [--no]",
		Short: "Sign and send a member's vote on a proposed text",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := vote(cmd, f)
			if err != nil {
				return err
			}
			return f.print(cmd.OutOrStdout(), c, func(w io.Writer) error { return writeChange(w, c) })
		},
	}
	f.add(cmd)
	cmd.Flags().StringVar(&f.changeID, "change", "", "ID of the change")
	cmd.Flags().StringVar(&f.member, "member", "", "member that votes")
	cmd.Flags().StringVar(&f.keyFile, "key", "", "file with the member's private key")
	cmd.Flags().BoolVar(&f.no, "no", false, "vote against the change")
	for _, name := range []string{"change", "member", "key"} {
		_ = cmd.MarkFlagRequired(name)
	}
	return cmd
}

func vote(cmd *cobra.Command, f voteFlags) (control.ChangeRecord, error) {
	key, err := readKey(f.keyFile)
	if err != nil {
		return control.ChangeRecord{}, withCode(exitInvalid, err)
	}
	path := "/v1/changes/" + url.PathEscape(f.changeID)
	c, err := get[control.ChangeRecord](cmd.Context(), &f.operatorFlags, path)
	if err != nil {
		return c, err
	}
	ballot := control.Ballot(c.ChangeID, c.Base, c.Hash, f.member, !f.no)
	v := operator.Vote{Member: f.member, Yes: !f.no, Signature: ed25519.Sign(key, ballot)}
	return post[control.ChangeRecord](cmd.Context(), &f.operatorFlags, path+"/votes", v)
}

func readKey(path string) (ed25519.PrivateKey, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read key: %w", err)
	}
	seed, err := base64.StdEncoding.DecodeString(strings.TrimSpace(string(data)))
	if err != nil || len(seed) != ed25519.SeedSize {
		return nil, fmt.Errorf("key file %s: must contain %d bytes in base64, as written by config keygen", path, ed25519.SeedSize)
	}
	return ed25519.NewKeyFromSeed(seed), nil
}

func newKeygen() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "keygen --file FILE",
		Short: "Make a member's key: the private part into a file, the public part printed",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			public, private, err := ed25519.GenerateKey(rand.Reader)
			if err != nil {
				return fmt.Errorf("generate key: %w", err)
			}
			f, err := os.OpenFile(file, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
			if err != nil {
				return withCode(exitInvalid, err)
			}
			if _, err := fmt.Fprintln(f, base64.StdEncoding.EncodeToString(private.Seed())); err != nil {
				return err
			}
			if err := f.Close(); err != nil {
				return err
			}
			_, err = fmt.Fprintln(cmd.OutOrStdout(), "public_key =", base64.StdEncoding.EncodeToString(public))
			return err
		},
	}
	cmd.Flags().StringVar(&file, "file", "", "new file for the private key")
	_ = cmd.MarkFlagRequired("file")
	return cmd
}
