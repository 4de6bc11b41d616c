// Fencing and deduplication of orders.

#include "StandIns/engine_orders.h"

#include <algorithm>

namespace carobbank {

Result<EngineOrder> EngineOrder::Parse(std::string_view body) {
  BOOST_LEAF_AUTO(value, ParseJson(body));
  const bool well_formed = JsonString(value, "kind") == "load_version" &&
                           value["fencing"].isUInt64() &&
                           value["version"].isUInt64();
  if (!well_formed) {
    return Fail(ErrorKind::kInvalidArgument, "not a load_version order",
                "send the members that docs/PLATFORM.md lists");
  }
  EngineOrder order;
  order.order_id = JsonString(value, "order_id");
  order.fencing_token = value["fencing"].asUInt64();
  order.model = JsonString(value, "model");
  order.version = value["version"].asUInt64();
  order.waits_for_running = JsonString(value, "mode") == "wait";
  return order;
}

EngineOrderResult EngineOrders::Accept(const EngineOrder& order,
                                       bool checks_fencing) {
  if (checks_fencing && order.fencing_token < this->highest_fencing_token) {
    return EngineOrderResult::kStaleFencing;
  }
  this->highest_fencing_token =
      std::max(this->highest_fencing_token, order.fencing_token);
  if (this->in_progress.has_value()) {
    const bool same = this->in_progress->order_id == order.order_id;
    return same ? EngineOrderResult::kRepeated : EngineOrderResult::kInProgress;
  }
  if (!order.order_id.empty() && order.order_id == this->last_order_id) {
    return EngineOrderResult::kRepeated;
  }
  this->in_progress = order;
  return EngineOrderResult::kAccepted;
}

void EngineOrders::End(bool succeeded) {
  this->last_order_id = this->in_progress->order_id;
  this->last_order_failed = !succeeded;
  this->in_progress.reset();
}

void EngineOrders::Clear() {
  *this = EngineOrders();
}

void EngineOrders::WriteState(Json::Value& state) const {
  state["loading"] = this->in_progress.has_value();
  state["last_order_id"] = this->last_order_id;
  state["last_order_failed"] = this->last_order_failed;
  state["fencing"] = Json::UInt64{this->highest_fencing_token};
}

}  // namespace carobbank
