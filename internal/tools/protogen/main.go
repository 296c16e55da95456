// Command protogen generates the Go code of the peer messages. It needs no installed
// protoc, because it compiles the schema with a library.
package main

import (
	"context"
	"os"

	"github.com/bufbuild/protocompile"
	"github.com/bufbuild/protocompile/protoutil"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/cmd/protoc-gen-go/internal_gengo"
	"google.golang.org/protobuf/compiler/protogen"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/pluginpb"
)

const (
	schemaFolder = "internal/peer/peerpb"
	schemaFile   = "peer.proto"
	outputFile   = schemaFolder + "/peer.pb.go"
	outputMode   = 0o644
)

func main() {
	code, err := generate()
	if err != nil {
		logrus.WithError(err).Fatal("cannot generate the Go code of the peer messages")
	}
	if err := os.WriteFile(outputFile, code, outputMode); err != nil {
		logrus.WithError(err).Fatal("cannot write the generated Go code")
	}
}

// generate compiles the schema and returns the generated Go file.
func generate() ([]byte, error) {
	compiler := protocompile.Compiler{
		Resolver:       &protocompile.SourceResolver{ImportPaths: []string{schemaFolder}},
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	files, err := compiler.Compile(context.Background(), schemaFile)
	if err != nil {
		return nil, err
	}
	request := &pluginpb.CodeGeneratorRequest{
		FileToGenerate: []string{schemaFile},
		Parameter:      proto.String("paths=source_relative"),
		ProtoFile:      []*descriptorpb.FileDescriptorProto{protoutil.ProtoFromFileDescriptor(files[0])},
	}
	plugin, err := protogen.Options{}.New(request)
	if err != nil {
		return nil, err
	}
	file := internal_gengo.GenerateFile(plugin, plugin.Files[len(plugin.Files)-1])
	return file.Content()
}
