// One stand-in on a free loopback port, with a client, for blocking tests.

#pragma once

#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>

#include "StandIns/stand_ins.h"
#include "Support/loop_thread.h"

namespace carobbank {

class StandInHost {
 public:
  // `options`: JSON as in POST /control.
  explicit StandInHost(std::string_view role, std::string_view options = "{}") {
    this->thread.Run([this, role] {
      auto created = Capture([&]() -> Result<std::unique_ptr<StandIn>> {
        return CreateStandIn(role, this->thread.Loop(), StandInOptions());
      });
      this->stand_in = std::move(created.Value());
      this->client = HttpClient::Create(this->thread.Loop());
    });
    this->ControlDirectly(options);
    this->thread.Run([this] {
      const auto listening = Capture([&]() -> Result<bool> {
        BOOST_LEAF_CHECK(this->stand_in->Listen());
        return true;
      });
      if (!listening.Ok()) {
        throw std::runtime_error(listening.GetError().Text());
      }
    });
  }

  ~StandInHost() {
    this->thread.Run([this] {
      this->client.reset();
      this->stand_in.reset();
    });
  }
  StandInHost(const StandInHost&) = delete;
  StandInHost& operator=(const StandInHost&) = delete;

  std::string Url() const {
    return "http://127.0.0.1:" + std::to_string(this->stand_in->Port());
  }
  HttpClient& Client() { return *this->client; }
  LoopThread& Thread() { return this->thread; }

  // Sets settings and faults without an HTTP request, which also works while
  // the stand-in is down or silent.
  void ControlDirectly(std::string_view options) {
    const bool applied = this->thread.Await<bool>([this, options](auto done) {
      const auto outcome = Capture([&]() -> Result<bool> {
        BOOST_LEAF_AUTO(members, ParseJson(options));
        BOOST_LEAF_CHECK(this->stand_in->ApplyControl(members));
        return true;
      });
      done(outcome.Ok());
    });
    if (!applied) {
      throw std::runtime_error("the stand-in rejected the options: " +
                               std::string(options));
    }
  }

  std::future<Outcome<HttpResponse>> BeginFetch(std::string method,
                                                std::string target,
                                                std::string body = "",
                                                HttpHeaders headers = {}) {
    HttpClientRequest request;
    request.method = std::move(method);
    request.url = this->Url() + target;
    request.body = std::move(body);
    request.headers = std::move(headers);
    return this->thread.Begin<Outcome<HttpResponse>>(
        [this, request = std::move(request)](auto done) {
          this->client->Fetch(request, done);
        });
  }

  Outcome<HttpResponse> Fetch(std::string method,
                              std::string target,
                              std::string body = "",
                              HttpHeaders headers = {}) {
    return LoopThread::Finish(
        this->BeginFetch(std::move(method), std::move(target), std::move(body),
                         std::move(headers)));
  }

  Json::Value FetchJson(const std::string& target) {
    const auto response = this->Fetch("GET", target);
    if (!response.Ok()) {
      throw std::runtime_error(target + ": " + response.GetError().Text());
    }
    return Capture([&] { return ParseJson(response.Value().body); }).Value();
  }

  Json::Value Record() { return this->FetchJson("/record"); }

 private:
  LoopThread thread;
  std::unique_ptr<StandIn> stand_in;
  std::unique_ptr<HttpClient> client;
};

}  // namespace carobbank
