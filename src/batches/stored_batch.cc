#include "batches/stored_batch.h"

namespace cloverbank {

proto::BatchState StoredBatch::state() const {
  if (cancelled) {
    return proto::BATCH_STATE_CANCELLED;
  }
  return AllFinished() ? proto::BATCH_STATE_FINISHED : proto::BATCH_STATE_RUNNING;
}

proto::BatchStatus StoredBatch::ToStatus() const {
  proto::BatchStatus status;
  status.set_batch_id(accepted.batch_id());
  status.set_tenant(accepted.tenant());
  status.set_route(accepted.route());
  status.set_state(state());
  status.set_total(items.size());
  status.set_succeeded(succeeded);
  status.set_failed(failed);
  status.set_unknown(unknown);
  status.set_cancelled(cancelled_items);
  status.set_accepted_at_ms(accepted.accepted_at_ms());
  status.set_finished_at_ms(finished_at_ms);
  status.set_position(position.value());
  return status;
}

}  // namespace cloverbank
