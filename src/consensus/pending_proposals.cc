#include "consensus/pending_proposals.h"

#include <utility>

namespace cloverbank {

void PendingProposals::Add(const RaftPosition& position, Done done) {
  proposals_[position.index] = {position.term, std::move(done)};
}

void PendingProposals::Complete(const proto::RaftEntry& entry, std::string result) {
  const auto found = proposals_.find(entry.index());
  if (found == proposals_.end()) {
    return;
  }
  Proposal proposal = std::move(found->second);
  proposals_.erase(found);
  if (proposal.term == entry.term()) {
    proposal.done(std::move(result));
  } else {
    proposal.done(Status(StatusCode::kNotLeader, "another leader's command took its place"));
  }
}

void PendingProposals::FailFromLostTerms() {
  // A callback may end the leadership or propose again, so the term is read for each proposal.
  while (!proposals_.empty()) {
    const auto first = proposals_.begin();
    if (first->second.term == context_.LeadingTerm()) {
      return;
    }
    const Done done = std::move(first->second.done);
    proposals_.erase(first);
    done(Status(StatusCode::kUnknownOutcome, "leadership was lost before the commit"));
  }
}

}  // namespace cloverbank
