package org.amberpath.gateway;

/**
 * What an installation has beside the platform's own: another source of news of caches, and knowledge of the other
 * gateways. Null where there is none.
 */
public record Beside(NewsSource.Maker news, Company.Maker company) {
  public static final Beside NOTHING = new Beside(null, null);
}
