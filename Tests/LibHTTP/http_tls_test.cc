// The server with TLS. Guards against untrusted certificates that the client
// accepts, stalled handshakes that hold a connection, and unusable certificate
// files.

#include "LibHTTP/http.h"

#include <vector>

#include "http_fixture.h"
#include "test_certificate.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

TEST_GROUP(HttpTls) {
  TestCertificate certificate;
  HttpFixture fixture;

  HttpServerOptions Options() {
    HttpServerOptions options;
    options.certificate_file = this->certificate.CertificateFile();
    options.private_key_file = this->certificate.KeyFile();
    options.max_body_bytes = 100;
    return options;
  }
  void Serve(HttpServerOptions options) {
    CHECK_TRUE(this->fixture.Serve(
        std::move(options), [](HttpRequest request, auto responder) {
          responder->Start(200, {});
          responder->Write("you sent ", [request, responder](bool) {
            responder->Write(request.body,
                             [responder](bool) { responder->Finish(); });
          });
        }));
  }
  void Trust() {
    HttpClientOptions options;
    options.certificate_authority_file = this->certificate.CertificateFile();
    this->fixture.client =
        HttpClient::Create(this->fixture.runner.loop, options);
  }
  Observed Post(std::string body) {
    HttpClientRequest request = this->fixture.Request("POST", std::move(body));
    request.url.replace(0, 4, "https");
    Observed observed;
    const auto exchange =
        this->fixture.client->Start(std::move(request), observed.Handlers());
    this->fixture.runner.RunUntil([&] { return observed.Ended(); });
    return observed;
  }
};

TEST(HttpTls, StreamsToCallersThatTrustTheCertificate) {
  this->Serve(this->Options());
  this->Trust();
  for (int i = 0; i < 2; ++i) {
    const Observed observed = this->Post("text");
    CHECK_EQUAL(1, observed.done);
    STRCMP_EQUAL("you sent text", observed.body.c_str());
  }
}

TEST(HttpTls, RefusesOversizeBodiesOverTls) {
  this->Serve(this->Options());
  this->Trust();
  const Observed observed = this->Post(std::string(101, 'x'));
  CHECK_EQUAL(413, observed.status);
  CHECK_TRUE(Problem::FromText(413, observed.body)->code == "body_too_large");
}

TEST(HttpTls, RequestIsNotSentToAnUntrustedCertificate) {
  this->Serve(this->Options());
  CHECK_TRUE(this->Post("text").EndedWith(SendState::kNotSent));
}

TEST(HttpTls, PlainTextAndStalledHandshakesAreClosed) {
  HttpServerOptions options = this->Options();
  options.read_timeout = Milliseconds(60);
  this->Serve(options);
  RawConnection plain = this->fixture.Connect();
  RawConnection stalled = this->fixture.Connect();
  CHECK_TRUE(plain.Send("GET / HTTP/1.1\r\n\r\n"));
  CHECK_TRUE(stalled.Send("\x16\x03\x01"));
  CHECK_TRUE(this->fixture.runner.RunUntil(
      [&] { return plain.Ended() && stalled.Ended(); }));
  CHECK_FALSE(plain.Contains("HTTP/1.1 200"));
}

TEST(HttpTls, UnusableFilesAreErrors) {
  struct Case {
    std::string certificate_file;
    std::string private_key_file;
  };
  const std::vector<Case> cases = {
      {"/no/such/file", this->certificate.KeyFile()},
      {this->certificate.CertificateFile(), "/no/such/file"},
      {this->certificate.KeyFile(), this->certificate.CertificateFile()},
      {this->certificate.CertificateFile(), ""},
      {"", this->certificate.KeyFile()},
  };
  for (const Case& each : cases) {
    HttpServerOptions options;
    options.certificate_file = each.certificate_file;
    options.private_key_file = each.private_key_file;
    const auto created = Capture([&] {
      return HttpServer::Create(this->fixture.runner.loop, options,
                                [](HttpRequest, auto) {});
    });
    CHECK_FALSE(created.Ok());
    CHECK_TRUE(created.GetError().kind == ErrorKind::kInvalidArgument);
  }
}

}  // namespace carobbank
