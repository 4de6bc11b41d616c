// HttpServer over restinio::http_server_t, on the event loop's io_context.

#include "LibHTTP/http_server.h"

#include <asio/post.hpp>

#include <netinet/tcp.h>

#include <utility>

#include "LibHTTP/connection_registry.h"
#include "LibHTTP/descriptor_limit.h"
#include "LibHTTP/event_loop_implementation.h"
#include "LibHTTP/parser_refusal.h"
#include "LibHTTP/server_responder.h"
#include "LibHTTP/server_socket.h"
#include "LibHTTP/socket_options.h"

namespace carobbank {

namespace {

// Selects the parser settings below.
class HttpMethods : public restinio::default_http_methods_t {};

}  // namespace

}  // namespace carobbank

namespace restinio::impl {

// RESTinio 0.6.16 keeps 16 bytes for each chunk of a request's body, which are
// not limited and not used here.
template <>
// NOLINTNEXTLINE(readability-identifier-naming): RESTinio's name.
inline http_parser_settings
create_parser_settings<carobbank::HttpMethods>() noexcept {
  http_parser_settings settings =
      create_parser_settings<default_http_methods_t>();
  settings.on_chunk_header = [](http_parser* /*parser*/) { return 0; };
  return settings;
}

}  // namespace restinio::impl

namespace carobbank {

namespace {

constexpr std::size_t kReadBufferBytes = 8 * 1024;
constexpr std::size_t kMaximumHeaderFields = 200;
// The server doesn't read while a request is handled; otherwise RESTinio 0.6.16
// restarts its parser in the middle of a pipelined request.
constexpr std::size_t kPipelinedRequests = 1;

// Passes parser errors to the registry and discards all other log messages.
class ParserErrorLogger {
 public:
  explicit ParserErrorLogger(std::shared_ptr<ConnectionRegistry> registry)
      : registry(std::move(registry)) {}

  // NOLINTBEGIN(readability-identifier-naming): RESTinio's names.
  template <typename Builder>
  void trace(Builder&& /*builder*/) const noexcept {}
  template <typename Builder>
  void info(Builder&& /*builder*/) const noexcept {}
  template <typename Builder>
  void warn(Builder&& /*builder*/) const noexcept {}
  template <typename Builder>
  void error(Builder&& builder) const {
    std::string text = builder();
    if (text.find("parser error") != std::string::npos) {
      this->registry->RecordParserError(std::move(text));
    }
  }
  // NOLINTEND(readability-identifier-naming)

 private:
  std::shared_ptr<ConnectionRegistry> registry;
};

struct ServerTraits
    : public restinio::traits_t<restinio::null_timer_manager_t,
                                ParserErrorLogger,
                                restinio::default_request_handler_t,
                                restinio::noop_strand_t,
                                ServerSocket> {
  using connection_state_listener_t = ConnectionRegistry;
  using http_methods_mapper_t = HttpMethods;
  // NOLINTNEXTLINE(readability-identifier-naming): RESTinio's name.
  static constexpr bool use_connection_count_limiter = true;
};

HttpRequest ToRequest(const restinio::request_t& request, std::string peer) {
  HttpRequest converted;
  converted.method = request.header().method().c_str();
  converted.target = request.header().request_target();
  converted.peer = std::move(peer);
  request.header().for_each_field([&](const auto& field) {
    converted.headers.push_back({field.name(), field.value()});
  });
  converted.body = request.body();
  return converted;
}

std::size_t HeaderSectionBytes(const HttpRequest& request) {
  // ": " and CRLF.
  constexpr std::size_t kBytesPerField = 4;
  std::size_t bytes = request.method.size() + request.target.size();
  for (const HttpHeader& header : request.headers) {
    bytes += header.name.size() + header.value.size() + kBytesPerField;
  }
  return bytes;
}

void HandleRequest(ConnectionRegistry& registry,
                   HttpRequest request,
                   std::shared_ptr<HttpResponder> responder) {
  if (!registry.handler) {
    return;
  }
  if (HeaderSectionBytes(request) > registry.Options().max_header_bytes) {
    HttpResponse refusal =
        RefusalForLongHeaderSection(registry.Options()).ToResponse();
    SetHeader(refusal.headers, "Connection", "close");
    responder->Send(std::move(refusal));
    return;
  }
  registry.handler(std::move(request), std::move(responder));
}

restinio::request_handling_status_t AcceptRequest(
    const std::shared_ptr<ConnectionRegistry>& registry,
    restinio::request_handle_t request) {
  const auto connection = registry->Find(request->connection_id());
  if (!connection || !registry->handler) {
    return restinio::request_rejected();
  }
  connection->RequestArrived();
  HttpRequest converted = ToRequest(*request, connection->Peer());
  auto exchange = std::make_shared<ServerExchange>(registry, connection,
                                                   std::move(request));
  exchange->Attach();
  // Posted, so that no response is sent within this call: see
  // kPipelinedRequests.
  asio::post(registry->Context(),
             [registry, converted = std::move(converted),
              responder = MakeResponder(std::move(exchange))]() mutable {
               HandleRequest(*registry, std::move(converted),
                             std::move(responder));
             });
  return restinio::request_accepted();
}

class RestinioServer final : public HttpServer {
 public:
  explicit RestinioServer(std::shared_ptr<ConnectionRegistry> registry)
      : registry(std::move(registry)) {}

  ~RestinioServer() override {
    this->StopAccepting();
    this->registry->Shutdown();
  }

  void Open(const asio::ip::address& address) {
    restinio::server_settings_t<ServerTraits> settings;
    this->Configure(settings, address);
    this->server = std::make_shared<restinio::http_server_t<ServerTraits>>(
        restinio::external_io_context(this->registry->Context()),
        std::move(settings));
    this->registry->acceptor_owner = this->server;
    this->server->open_sync();
    this->registry->StartSweeping();
  }

  std::uint16_t Port() const override { return this->port; }

  void DisableKeepAlive() override {
    this->registry->keep_alive_disabled = true;
  }

  void StopAccepting() override {
    this->DisableKeepAlive();
    if (this->server) {
      this->server->close_sync();
    }
  }

  std::size_t RequestsInProgress() const override {
    return this->registry->requests_in_progress;
  }

 private:
  void Configure(restinio::server_settings_t<ServerTraits>& settings,
                 const asio::ip::address& address) {
    const HttpServerOptions& options = this->registry->Options();
    settings.address(address)
        .port(options.port)
        .protocol(address.is_v6() ? asio::ip::tcp::v6() : asio::ip::tcp::v4())
        .buffer_size(kReadBufferBytes)
        .max_pipelined_requests(kPipelinedRequests)
        // RESTinio stops accepting permanently when no descriptor is left.
        .max_parallel_connections(
            MaxConnectionsForDescriptorLimit(options.max_connections))
        .incoming_http_msg_limits(
            restinio::incoming_http_msg_limits_t()
                .max_url_size(options.max_header_bytes)
                .max_field_name_size(options.max_header_bytes)
                .max_field_value_size(options.max_header_bytes)
                .max_field_count(kMaximumHeaderFields)
                .max_body_size(options.max_body_bytes))
        .connection_state_listener(this->registry)
        .logger(this->registry)
        .acceptor_options_setter([](auto& acceptor) {
          acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
        })
        .acceptor_post_bind_hook([this](auto& acceptor) {
          this->port = acceptor.local_endpoint().port();
        })
        .socket_options_setter(
            [silent_timeout = options.silent_timeout,
             send_buffer_bytes = options.send_buffer_bytes](auto& socket) {
              SetConnectionOptions(socket, silent_timeout);
              SetSendBuffer(socket, send_buffer_bytes);
            })
        .request_handler(
            [registry = this->registry](restinio::request_handle_t request) {
              return AcceptRequest(registry, std::move(request));
            });
  }

  std::shared_ptr<ConnectionRegistry> registry;
  std::shared_ptr<restinio::http_server_t<ServerTraits>> server;
  std::uint16_t port = 0;
};

Result<std::shared_ptr<asio::ssl::context>> MakeTlsContext(
    const HttpServerOptions& options) {
  if (options.certificate_file.empty() && options.private_key_file.empty()) {
    return std::shared_ptr<asio::ssl::context>();
  }
  if (options.certificate_file.empty() || options.private_key_file.empty()) {
    return Fail(ErrorKind::kInvalidArgument,
                "only one of certificate_file and private_key_file is set",
                "set both for TLS, or neither for plain HTTP");
  }
  auto context =
      std::make_shared<asio::ssl::context>(asio::ssl::context::tls_server);
  asio::error_code error;
  context->set_options(
      asio::ssl::context::no_tlsv1 | asio::ssl::context::no_tlsv1_1, error);
  context->use_certificate_chain_file(options.certificate_file, error);
  if (error) {
    return Fail(
        ErrorKind::kInvalidArgument,
        "cannot read the certificate " + options.certificate_file + ": " +
            error.message(),
        "set certificate_file to a PEM file with the certificate chain");
  }
  context->use_private_key_file(options.private_key_file,
                                asio::ssl::context::pem, error);
  if (error) {
    return Fail(
        ErrorKind::kInvalidArgument,
        "cannot use the private key " + options.private_key_file + ": " +
            error.message(),
        "set private_key_file to the PEM file with the certificate's key");
  }
  return context;
}

}  // namespace

Result<std::unique_ptr<HttpServer>> HttpServer::Create(
    EventLoop& loop,
    HttpServerOptions options,
    HttpHandler handler) {
  asio::error_code error;
  const asio::ip::address address =
      asio::ip::make_address(options.address, error);
  if (error) {
    return Fail(ErrorKind::kInvalidArgument,
                "\"" + options.address + "\" is not an IP address",
                "set the listening address to a numeric IPv4 or IPv6 address");
  }
  BOOST_LEAF_AUTO(tls_context, MakeTlsContext(options));
  const std::string endpoint =
      options.address + ":" + std::to_string(options.port);
  auto registry = std::make_shared<ConnectionRegistry>(
      loop.GetImplementation().context, std::move(options));
  registry->handler = std::move(handler);
  registry->tls_context = std::move(tls_context);
  auto server = std::make_unique<RestinioServer>(std::move(registry));
  try {
    server->Open(address);
  } catch (const std::exception& exception) {
    return Fail(ErrorKind::kUnavailable,
                "cannot listen on " + endpoint + ": " + exception.what(),
                "free the port or choose another one");
  }
  return std::unique_ptr<HttpServer>(std::move(server));
}

}  // namespace carobbank
